import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {Fingerprint, NodeId, VmId, ZoneId} from '../core/ids/index.js';
import type {EngineChange} from '../core/fleet/types.js';
import type {
  DigestScope,
  LoadDigest,
  RosterNode,
} from '../core/serving/types.js';

/** Version of the datagram; a node drops those of another. */
const FORMAT = 6;

/** Engine, requests, unread tokens, age of progress, and the bits of its condition. */
type LoadRow = readonly [string, number, number, number, number];

/** One life of an engine: id, start, and the age of what is told of it. */
type LifeRow = readonly [string, number, number];
type ToldLife = LoadDigest['lostEngines'][number];

const SUSPECT_BIT = 1;
const SLOW_BIT = 2;
const PROOF_FIELDS = 5;
const SCOPES: readonly DigestScope[] = ['node', 'zone', 'fleet'];
const READY_BIT = 1;
const LEAVING_BIT = 2;
/** A datagram that is larger is packed: sums of many targets shrink to a quarter. */
const PACK_BYTES = 800;
/** First byte of a datagram, before what is for one receiver: 8 bytes of a number, none is not a number. */
const PLAIN = 2;
const PACKED = 1;
const HEAD_BYTES = 9;
/** Fastest level: the sender packs ten datagrams a second. */
const PACK_LEVEL = 1;
/** A digest that unpacks to more is none of ours. */
const MAX_UNPACKED_BYTES = 1_000_000;

/** Node, zone, address for callers, cores, age, and the bits of its condition. */
type RosterRow = readonly [string, string, string, number, number, number];

interface Datagram {
  readonly v: number;
  readonly k: number;
  readonly n: string;
  /** Peer address, cores, steward's peer address. */
  readonly w: readonly [string, number, string];
  readonly u: number;
  readonly y: readonly RosterRow[];
  readonly z: string;
  readonly a: string;
  readonly r: 0 | 1;
  readonly l: 0 | 1;
  readonly g: 0 | 1;
  readonly e: readonly EngineChange[];
  readonly c: number;
  readonly b: number;
  readonly m: number;
  /** Age of the configuration's proof; engines, their revisions, age of their proof; era of the store. */
  readonly p: readonly number[];
  readonly t: readonly LoadRow[];
  readonly s: readonly (readonly [string, number, number])[];
  readonly d: readonly (readonly [string, string, number, number])[];
  readonly q: readonly (readonly [string, string, readonly string[]])[];
  readonly o: readonly (readonly [string, string, 0 | 1])[];
  /** Engines found lost, and engines that leave. */
  readonly x: readonly LifeRow[];
  readonly h: readonly LifeRow[];
}

/** Packs a load digest into a datagram, and back. */
export const digestCodec = {
  encode(digest: LoadDigest): Buffer {
    const datagram: Datagram = {
      v: FORMAT,
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
      e: digest.changes,
      c: digest.configVersion,
      b: digest.life,
      m: digest.sentAtMs,
      p: [
        digest.configProofAgeMs,
        digest.engineCount,
        digest.revisionSum,
        digest.fleetProofAgeMs,
        digest.storeEra,
      ],
      t: digest.loads.map(load => [
        load.vmId,
        load.inFlight,
        load.unreadTokens,
        load.progressAgeMs,
        (load.isSuspect ? SUSPECT_BIT : 0) | (load.isSlow ? SLOW_BIT : 0),
      ]),
      s: digest.suspects.map(one => [one.fingerprint, one.losses, one.leftMs]),
      d: digest.departed.map(one => [
        one.vmId,
        one.address,
        one.bornAtMs,
        one.ageMs,
      ]),
      q: digest.asks.map(one => [one.vmId, one.address, one.peers]),
      o: digest.opinions.map(one => [
        one.vmId,
        one.nodeId,
        one.isSilent ? 1 : 0,
      ]),
      x: digest.lostEngines.map(toLifeRow),
      h: digest.leavingEngines.map(toLifeRow),
    };
    const bytes = Buffer.from(JSON.stringify(datagram));
    const isPacked = bytes.length > PACK_BYTES;
    const body = isPacked ? deflateRawSync(bytes, {level: PACK_LEVEL}) : bytes;
    const head = Buffer.alloc(HEAD_BYTES);
    head[0] = isPacked ? PACKED : PLAIN;
    head.writeDoubleLE(digest.countedSentAtMs ?? NaN, 1);
    return Buffer.concat([head, body]);
  },

  /** The same digest for another receiver, without packing it again. */
  readdress(bytes: Buffer, countedSentAtMs: number | undefined): Buffer {
    const copy = Buffer.from(bytes);
    copy.writeDoubleLE(countedSentAtMs ?? NaN, 1);
    return copy;
  },

  /** Undefined for bytes that are no digest. */
  decode(bytes: Buffer): LoadDigest | undefined {
    if (bytes.length <= HEAD_BYTES) return undefined;
    const counted = bytes.readDoubleLE(1);
    let datagram: Datagram;
    try {
      datagram = JSON.parse(unpack(bytes).toString()) as Datagram;
    } catch {
      return undefined; // cut or foreign; the caller counts it
    }
    if (datagram?.v !== FORMAT || typeof datagram.n !== 'string') {
      return undefined;
    }
    const scope = SCOPES[datagram.k];
    if (!scope || !Array.isArray(datagram.w)) return undefined;
    const tables = [
      datagram.t,
      datagram.s,
      datagram.x,
      datagram.d,
      datagram.y,
      datagram.h,
    ];
    if (![...tables, datagram.q, datagram.o].every(isRows)) return undefined;
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
    return {
      scope,
      peerAddress: String(peerAddress),
      coreCount: toCount(coreCount),
      ...(stewardAddress ? {stewardAddress: String(stewardAddress)} : {}),
      nodeCount: toCount(datagram.u),
      roster: datagram.y.map(toRosterNode),
      ...(Number.isFinite(counted) ? {countedSentAtMs: counted} : {}),
      from: datagram.n as NodeId,
      life: toCount(datagram.b),
      sentAtMs,
      zone: datagram.z as ZoneId,
      callerAddress: String(datagram.a),
      isReady: datagram.r === 1,
      isLeaving: datagram.l === 1,
      isSteward: datagram.g === 1,
      changes: (Array.isArray(datagram.e) ? datagram.e : []).filter(isChange),
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
      })),
      suspects: datagram.s.map(row => ({
        fingerprint: row[0] as Fingerprint,
        losses: toCount(row[1]),
        leftMs: toCount(row[2]),
      })),
      departed: datagram.d.map(row => ({
        vmId: row[0] as VmId,
        address: String(row[1]),
        bornAtMs: Number(row[2]),
        ageMs: toCount(row[3]),
      })),
      asks: datagram.q.map(row => ({
        vmId: row[0] as VmId,
        address: String(row[1]),
        peers: (Array.isArray(row[2]) ? row[2] : []) as NodeId[],
      })),
      opinions: datagram.o.map(row => ({
        vmId: row[0] as VmId,
        nodeId: row[1] as NodeId,
        isSilent: row[2] === 1,
      })),
      lostEngines: datagram.x.map(toLife),
      leavingEngines: datagram.h.map(toLife),
    };
  },
};

function unpack(bytes: Buffer): Buffer {
  const body = bytes.subarray(HEAD_BYTES);
  if (bytes[0] !== PACKED) return body;
  return inflateRawSync(body, {maxOutputLength: MAX_UNPACKED_BYTES});
}

function toLifeRow({vmId, bornAtMs, ageMs}: ToldLife): LifeRow {
  return [vmId, bornAtMs, ageMs];
}

function toLife([vmId, bornAtMs, ageMs]: LifeRow): ToldLife {
  return {
    vmId: vmId as VmId,
    bornAtMs: Number(bornAtMs),
    ageMs: toCount(ageMs),
  };
}

function toRosterRow(node: RosterNode): RosterRow {
  return [
    node.nodeId,
    node.zone,
    node.callerAddress,
    node.coreCount,
    Math.round(node.ageMs),
    (node.isReady ? READY_BIT : 0) | (node.isLeaving ? LEAVING_BIT : 0),
  ];
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
  };
}

function isChange(value: unknown): boolean {
  const change = value as Partial<EngineChange> | null;
  return (
    typeof change?.vmId === 'string' &&
    typeof change.revision === 'number' &&
    (change.engine === undefined || typeof change.engine.address === 'string')
  );
}

function isRows(value: unknown): boolean {
  return Array.isArray(value) && value.every(row => Array.isArray(row));
}

function toCount(value: unknown): number {
  const number = Number(value);
  return Number.isFinite(number) && number > 0 ? number : 0;
}
