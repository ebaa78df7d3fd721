import type {EngineChange} from '../../fleet/types.js';
import type {Fingerprint, NodeId, VmId, ZoneId} from '../../ids/index.js';

/** A target's line in a load digest. */
export interface DigestLoad {
  readonly vmId: VmId;
  readonly inFlight: number;
  readonly unreadTokens: number;
  /** Age of the last event of any stream there; -1 for none. */
  readonly progressAgeMs: number;
  readonly isSuspect: boolean;
  /** Its streams are much slower than the published costs say. */
  readonly isSlow: boolean;
}

/** An engine that the store no longer lists. */
export interface DepartedEngine {
  readonly vmId: VmId;
  readonly address: string;
  readonly bornAtMs: number;
  readonly ageMs: number;
}

/** What a node tells its peers several times a second. */
export interface LoadDigest {
  readonly from: NodeId;
  /** Tells one life of the sender from the next. */
  readonly life: number;
  /** By the sender's clock, which starts anywhere. */
  readonly sentAtMs: number;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** The sender gives the orders, and passes on changes of engines. */
  readonly isSteward: boolean;
  readonly changes: readonly EngineChange[];
  readonly configVersion: number;
  /** Age of the sender's own proof, from the store, that this version is the newest; -1 for none. */
  readonly configProofAgeMs: number;
  /** Count and sum of revisions of the engines that the sender knows: equal where the engines are. */
  readonly engineCount: number;
  readonly revisionSum: number;
  /** Age of the sender's own reading of the engines from the store; -1 for none. */
  readonly fleetProofAgeMs: number;
  readonly loads: readonly DigestLoad[];
  /** Engines that the store dropped, for nodes that have just started. */
  readonly departed: readonly DepartedEngine[];
  /** Engines that the steward asks some peers to look for. */
  readonly asks: readonly {
    readonly vmId: VmId;
    readonly address: string;
    readonly peers: readonly NodeId[];
  }[];
  /** What this node found when it looked for engines. */
  readonly opinions: readonly {
    readonly vmId: VmId;
    readonly isSilent: boolean;
  }[];
  /** Requests whose last targets were lost while they ran. */
  readonly suspects: readonly {
    readonly fingerprint: Fingerprint;
    readonly losses: number;
  }[];
  /** Engines that a steward found to be lost before the store did. */
  readonly lostEngines: readonly {
    readonly vmId: VmId;
    readonly bornAtMs: number;
  }[];
}

/** What is known of the way that a peer's digests take. */
export interface PeerLink {
  readonly life: number;
  /** When this life was first heard. */
  readonly sinceMs: number;
  /** Least difference seen of this node's clock to the sender's. */
  readonly leastOffsetMs: number;
  /** How much longer the last digest took than the fastest, time in which this node stood still included. */
  readonly delayMs: number;
}

/** The last digest of a peer. */
export interface PeerView {
  readonly digest: LoadDigest;
  readonly atMs: number;
  readonly link: PeerLink;
}

/** Sum of what peers have in flight at a target. */
export interface PeerLoad {
  inFlight: number;
  unreadTokens: number;
  progressAtMs: number;
  suspectUntilMs: number;
  slowUntilMs: number;
}
