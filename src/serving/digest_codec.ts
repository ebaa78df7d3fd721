import type {Fingerprint, NodeId, VmId, ZoneId} from '../core/ids/index.js';
import type {EngineChange} from '../core/fleet/types.js';
import type {LoadDigest} from '../core/serving/types.js';

/** Version of the datagram; a node drops those of another. */
const FORMAT = 4;

/** Engine, requests, unread tokens, age of progress, and the bits of its condition. */
type LoadRow = readonly [string, number, number, number, number];

const SUSPECT_BIT = 1;
const SLOW_BIT = 2;
const PROOF_FIELDS = 4;

interface Datagram {
  readonly v: number;
  readonly n: string;
  readonly z: string;
  readonly a: string;
  readonly r: 0 | 1;
  readonly l: 0 | 1;
  readonly g: 0 | 1;
  readonly e: readonly EngineChange[];
  readonly c: number;
  readonly b: number;
  readonly m: number;
  /** Age of the configuration's proof; engines, their revisions, age of their proof. */
  readonly p: readonly number[];
  readonly t: readonly LoadRow[];
  readonly s: readonly (readonly [string, number])[];
  readonly d: readonly (readonly [string, string, number, number])[];
  readonly q: readonly (readonly [string, string, readonly string[]])[];
  readonly o: readonly (readonly [string, 0 | 1])[];
  readonly x: readonly (readonly [string, number])[];
}

/** Packs a load digest into a datagram, and back. */
export const digestCodec = {
  encode(digest: LoadDigest): Buffer {
    const datagram: Datagram = {
      v: FORMAT,
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
      ],
      t: digest.loads.map(load => [
        load.vmId,
        load.inFlight,
        load.unreadTokens,
        load.progressAgeMs,
        (load.isSuspect ? SUSPECT_BIT : 0) | (load.isSlow ? SLOW_BIT : 0),
      ]),
      s: digest.suspects.map(one => [one.fingerprint, one.losses]),
      d: digest.departed.map(one => [
        one.vmId,
        one.address,
        one.bornAtMs,
        one.ageMs,
      ]),
      q: digest.asks.map(one => [one.vmId, one.address, one.peers]),
      o: digest.opinions.map(one => [one.vmId, one.isSilent ? 1 : 0]),
      x: digest.lostEngines.map(one => [one.vmId, one.bornAtMs]),
    };
    return Buffer.from(JSON.stringify(datagram));
  },

  /** Undefined for bytes that are no digest. */
  decode(bytes: Buffer): LoadDigest | undefined {
    let datagram: Datagram;
    try {
      datagram = JSON.parse(bytes.toString()) as Datagram;
    } catch {
      return undefined; // cut or foreign; the caller counts it
    }
    if (datagram?.v !== FORMAT || typeof datagram.n !== 'string') {
      return undefined;
    }
    const tables = [datagram.t, datagram.s, datagram.x, datagram.d];
    if (![...tables, datagram.q, datagram.o].every(isRows)) return undefined;
    const {p: proofs, m: sentAtMs} = datagram;
    if (!Array.isArray(proofs) || !proofs.every(Number.isFinite)) {
      return undefined;
    }
    if (proofs.length !== PROOF_FIELDS || !Number.isFinite(sentAtMs)) {
      return undefined;
    }
    const [configProofAgeMs, engineCount, revisionSum, fleetProofAgeMs] =
      proofs as [number, number, number, number];
    return {
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
        isSilent: row[1] === 1,
      })),
      lostEngines: datagram.x.map(row => ({
        vmId: row[0] as VmId,
        bornAtMs: Number(row[1]),
      })),
    };
  },
};

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
