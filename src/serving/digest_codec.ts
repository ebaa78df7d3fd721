import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {NodeId, ServiceName, VmId, ZoneId} from '../core/ids/index.js';
import type {EngineChange} from '../core/fleet/types.js';
import type {
  DigestLoad,
  DigestScope,
  LoadDigest,
  RosterNode,
} from '../core/serving/types.js';
import {isAddress, isEngineChange} from '../core/fleet/index.js';
import {coldRows} from './cold_rows.js';
import {crashRows} from './crash_rows.js';
import {evacuationRows} from './evacuation_rows.js';
import {isRows} from './is_rows.js';
import {limitRows} from './limit_rows.js';
import {paceRows} from './pace_rows.js';
import {retryRows} from './retry_rows.js';
import {toCount} from './to_count.js';
import {workRows} from './work_rows.js';

/** Version of the datagram format; datagrams of other versions are dropped. */
const FORMAT_VERSION = 6;

/** VM id, requests in flight, unread prompt tokens, age of the last event in ms (-1: none), flags, and recent sends to a limited target. */
type LoadRow = readonly [string, number, number, number, number, number?];

/** Report on one engine process: VM id, start time, and age of the report in ms. */
type EngineReportRow = readonly [string, number, number];
type EngineReport = LoadDigest['lostEngines'][number];

/** Flags of a load row. */
const SUSPECT_BIT = 1;
const SLOW_BIT = 2;
/** Length of the `p` row. */
const PROOF_FIELDS = 5;
/** By the index that a datagram carries. */
const SCOPES: readonly DigestScope[] = ['node', 'zone', 'fleet'];
/** Flags of a roster row. */
const READY_BIT = 1;
const LEAVING_BIT = 2;
/** Larger datagrams are compressed; summaries with many targets shrink to a quarter. */
const COMPRESS_ABOVE_BYTES = 800;
/**
 * First byte of a datagram: whether its JSON is compressed. The next 8 bytes
 * hold the only field that differs between receivers, the time of the
 * receiver's digest that is counted, as a little-endian double; NaN for none.
 */
const PLAIN = 2;
const COMPRESSED = 1;
const HEAD_BYTES = 9;
/** Fastest level, since a sender compresses ten datagrams per second. */
const COMPRESSION_LEVEL = 1;
/** Datagrams that decompress to more are dropped; no digest is that large. */
const MAX_DECOMPRESSED_BYTES = 1_000_000;

/** Node id, zone, address for callers, cores, age in ms, flags, and the services that the node can't reach, if any. */
type RosterRow = readonly [
  string,
  string,
  string,
  number,
  number,
  number,
  (readonly string[])?,
];

/** The JSON body of a datagram; keys are single letters to keep it small. */
interface Datagram
  extends
    ReturnType<typeof crashRows.encode>,
    ReturnType<typeof retryRows.encode>,
    ReturnType<typeof limitRows.encode>,
    ReturnType<typeof evacuationRows.encode>,
    ReturnType<typeof coldRows.encode>,
    ReturnType<typeof paceRows.encode>,
    ReturnType<typeof workRows.encode> {
  /** Format version. */
  readonly v: number;
  /** Index of the digest's scope. */
  readonly k: number;
  /** Id of the sender. */
  readonly n: string;
  /** Peer address and cores of the sender, and peer address of the steward ('' when unknown). */
  readonly w: readonly [string, number, string];
  /** Count of the nodes that the loads cover. */
  readonly u: number;
  /** Nodes that a relay reports. */
  readonly y: readonly RosterRow[];
  /** Zone of the sender. */
  readonly z: string;
  /** The sender's address for callers. */
  readonly a: string;
  /** Whether the sender is ready, is leaving, and is the steward or forwards its data. */
  readonly r: 0 | 1;
  readonly l: 0 | 1;
  readonly g: 0 | 1;
  /** Services that the sender can't reach; undefined: none. */
  readonly U?: readonly string[];
  /** Recent changes of engines. */
  readonly e: readonly EngineChange[];
  /** Version of the configuration. */
  readonly c: number;
  /** Identifies the sender's process across restarts. */
  readonly b: number;
  /** Send time by the sender's clock, in ms. */
  readonly m: number;
  /** Age of the configuration's proof in ms, count of engines, sum of their revisions, age of their proof in ms, era of the store. */
  readonly p: readonly number[];
  readonly t: readonly LoadRow[];
  /** Engines that the store no longer lists: VM id, address, start time, age in ms. */
  readonly d: readonly (readonly [string, string, number, number])[];
  /** Engines that peers are to probe: VM id, address, ids of these peers. */
  readonly q: readonly (readonly [string, string, readonly string[]])[];
  /** Results of such probes: VM id, id of the probing node, 1 if there was no response, and age in ms. */
  readonly o: readonly (readonly [string, string, 0 | 1, ...number[]])[];
  /** Engines that a steward has declared lost. */
  readonly x: readonly EngineReportRow[];
  /** Engines that announced that they are leaving. */
  readonly h: readonly EngineReportRow[];
}

/** Encodes load digests as datagrams, and decodes them. */
export const digestCodec = {
  encode(digest: LoadDigest): Buffer {
    const datagram: Datagram = {
      v: FORMAT_VERSION,
      k: SCOPES.indexOf(digest.scope),
      w: [digest.peerAddress, digest.coreCount, digest.stewardAddress ?? ''],
      u: digest.nodeCount,
      y: digest.roster.map(toRosterRow),
      n: digest.from,
      z: digest.zone,
      a: digest.callerAddress,
      r: digest.isReady ? 1 : 0,
      l: digest.isLeaving ? 1 : 0,
      g: digest.isSteward ? 1 : 0,
      ...(digest.unreachableServices.length > 0
        ? {U: digest.unreachableServices}
        : {}),
      e: digest.changes,
      c: digest.configVersion,
      b: digest.incarnation,
      m: digest.sentAtMs,
      p: [
        digest.configProofAgeMs,
        digest.engineCount,
        digest.revisionSum,
        digest.fleetProofAgeMs,
        digest.storeEra,
      ],
      t: digest.loads.map(toLoadRow),
      d: digest.departed.map(one => [
        one.vmId,
        one.address,
        one.bornAtMs,
        one.ageMs,
      ]),
      q: digest.probeRequests.map(one => [one.vmId, one.address, one.peers]),
      o: digest.probeReports.map(one => [
        one.vmId,
        one.nodeId,
        one.isSilent ? 1 : 0,
        ...(one.ageMs === undefined ? [] : [one.ageMs]),
      ]),
      x: digest.lostEngines.map(toReportRow),
      h: digest.leavingEngines.map(toReportRow),
      ...crashRows.encode(digest),
      ...retryRows.encode(digest),
      ...limitRows.encode(digest.limits),
      ...evacuationRows.encode(digest.evacuation),
      ...coldRows.encode(digest.coldEngines),
      ...paceRows.encode(digest.paces),
      ...workRows.encode(digest.work),
    };
    const bytes = Buffer.from(JSON.stringify(datagram));
    const isCompressed = bytes.length > COMPRESS_ABOVE_BYTES;
    const body = isCompressed
      ? deflateRawSync(bytes, {level: COMPRESSION_LEVEL})
      : bytes;
    const head = Buffer.alloc(HEAD_BYTES);
    head[0] = isCompressed ? COMPRESSED : PLAIN;
    head.writeDoubleLE(digest.countedSentAtMs ?? NaN, 1);
    return Buffer.concat([head, body]);
  },

  /** Copies an encoded digest for another receiver, without compressing it again. */
  copyForReceiver(bytes: Buffer, countedSentAtMs: number | undefined): Buffer {
    const copy = Buffer.from(bytes);
    copy.writeDoubleLE(countedSentAtMs ?? NaN, 1);
    return copy;
  },

  /** Returns undefined for bytes that are not a digest of this format version. */
  decode(bytes: Buffer): LoadDigest | undefined {
    if (bytes.length <= HEAD_BYTES) return undefined;
    const counted = bytes.readDoubleLE(1);
    let datagram: Datagram;
    try {
      datagram = JSON.parse(decompress(bytes).toString()) as Datagram;
    } catch {
      return undefined; // truncated or foreign; the caller counts it as dropped
    }
    if (datagram?.v !== FORMAT_VERSION || typeof datagram.n !== 'string') {
      return undefined;
    }
    const scope = SCOPES[datagram.k];
    if (!scope || !Array.isArray(datagram.w)) return undefined;
    const tables = [datagram.t, datagram.x, datagram.d, datagram.y, datagram.h];
    if (![...tables, datagram.q, datagram.o].every(isRows)) return undefined;
    const crashFields = crashRows.decode(datagram);
    if (!crashFields) return undefined;
    const {p: proofs, m: sentAtMs} = datagram;
    if (!Array.isArray(proofs) || !proofs.every(Number.isFinite)) {
      return undefined;
    }
    if (proofs.length !== PROOF_FIELDS || !Number.isFinite(sentAtMs)) {
      return undefined;
    }
    const [
      configProofAgeMs,
      engineCount,
      revisionSum,
      fleetProofAgeMs,
      storeEra,
    ] = proofs as [number, number, number, number, number];
    const [peerAddress, coreCount, stewardAddress] = datagram.w;
    if (!isAddress(peerAddress)) return undefined;
    return {
      scope,
      peerAddress,
      coreCount: toCount(coreCount),
      ...(isAddress(stewardAddress) ? {stewardAddress} : {}),
      nodeCount: toCount(datagram.u),
      roster: datagram.y.map(toRosterNode),
      ...(Number.isFinite(counted) ? {countedSentAtMs: counted} : {}),
      from: datagram.n as NodeId,
      incarnation: toCount(datagram.b),
      sentAtMs,
      zone: datagram.z as ZoneId,
      callerAddress: String(datagram.a),
      isReady: datagram.r === 1,
      isLeaving: datagram.l === 1,
      isSteward: datagram.g === 1,
      unreachableServices: toServices(datagram.U),
      changes: (Array.isArray(datagram.e) ? datagram.e : []).filter(
        isEngineChange,
      ),
      configVersion: toCount(datagram.c),
      configProofAgeMs,
      engineCount,
      revisionSum,
      fleetProofAgeMs,
      storeEra: toCount(storeEra),
      loads: datagram.t.map(row => ({
        vmId: row[0] as VmId,
        inFlight: toCount(row[1]),
        unreadTokens: toCount(row[2]),
        progressAgeMs: Number(row[3]),
        isSuspect: (toCount(row[4]) & SUSPECT_BIT) !== 0,
        isSlow: (toCount(row[4]) & SLOW_BIT) !== 0,
        ...(row[5] === undefined ? {} : {recentSends: toCount(row[5])}),
      })),
      departed: datagram.d.map(row => ({
        vmId: row[0] as VmId,
        address: String(row[1]),
        bornAtMs: Number(row[2]),
        ageMs: toCount(row[3]),
      })),
      probeRequests: datagram.q
        .filter(row => isAddress(row[1]))
        .map(row => ({
          vmId: row[0] as VmId,
          address: row[1],
          peers: (Array.isArray(row[2]) ? row[2] : []) as NodeId[],
        })),
      probeReports: datagram.o.map(row => ({
        vmId: row[0] as VmId,
        nodeId: row[1] as NodeId,
        isSilent: row[2] === 1,
        ...(row[3] === undefined ? {} : {ageMs: toCount(row[3])}),
      })),
      lostEngines: datagram.x.map(toReport),
      leavingEngines: datagram.h.map(toReport),
      ...crashFields,
      ...retryRows.decode(datagram),
      limits: limitRows.decode(datagram),
      ...evacuationRows.decode(datagram),
      ...coldRows.decode(datagram),
      ...paceRows.decode(datagram),
      ...workRows.decode(datagram),
    };
  },
};

function decompress(bytes: Buffer): Buffer {
  const body = bytes.subarray(HEAD_BYTES);
  if (bytes[0] !== COMPRESSED) return body;
  return inflateRawSync(body, {maxOutputLength: MAX_DECOMPRESSED_BYTES});
}

function toLoadRow(load: DigestLoad): LoadRow {
  const {vmId, inFlight, unreadTokens, progressAgeMs, recentSends} = load;
  const flags =
    (load.isSuspect ? SUSPECT_BIT : 0) | (load.isSlow ? SLOW_BIT : 0);
  const row = [vmId, inFlight, unreadTokens, progressAgeMs, flags] as const;
  return recentSends === undefined ? row : [...row, recentSends];
}

function toReportRow({vmId, bornAtMs, ageMs}: EngineReport): EngineReportRow {
  return [vmId, bornAtMs, ageMs];
}

function toReport([vmId, bornAtMs, ageMs]: EngineReportRow): EngineReport {
  return {
    vmId: vmId as VmId,
    bornAtMs: Number(bornAtMs),
    ageMs: toCount(ageMs),
  };
}

function toRosterRow(node: RosterNode): RosterRow {
  const row = [
    node.nodeId,
    node.zone,
    node.callerAddress,
    node.coreCount,
    Math.round(node.ageMs),
    (node.isReady ? READY_BIT : 0) | (node.isLeaving ? LEAVING_BIT : 0),
  ] as const;
  const {unreachableServices} = node;
  return unreachableServices.length > 0 ? [...row, unreachableServices] : row;
}

function toServices(names: unknown): ServiceName[] {
  const list: readonly unknown[] = Array.isArray(names) ? names : [];
  return list.filter((name): name is ServiceName => typeof name === 'string');
}

function toRosterNode(row: RosterRow): RosterNode {
  const bits = toCount(row[5]);
  return {
    nodeId: row[0] as NodeId,
    zone: row[1] as ZoneId,
    callerAddress: String(row[2]),
    coreCount: toCount(row[3]),
    ageMs: toCount(row[4]),
    isReady: (bits & READY_BIT) !== 0,
    isLeaving: (bits & LEAVING_BIT) !== 0,
    unreachableServices: toServices(row[6]),
  };
}
