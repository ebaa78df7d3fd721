import type {ColdReport} from '../coldness/types.js';
import type {EngineChange} from '../../fleet/types.js';
import type {EvacuationReport} from '../evacuation/types.js';
import type {LeavingReport} from '../announcements/types.js';
import type {NodeId, ServiceName, VmId, ZoneId} from '../../ids/index.js';
import type {LimitReport} from '../rate_limits/types.js';
import type {PaceReport} from '../pace/types.js';
import type {WorkRow} from '../fair_queue/types.js';
import type {PredecessorEntry, RetryCount} from '../retries/types.js';
import type {
  CrashReportEntry,
  CrashSuspectEntry,
  SurvivalEntry,
} from '../crashes/types.js';

/** Load of one target in a digest. */
export interface DigestLoad {
  readonly vmId: VmId;
  readonly inFlight: number;
  /** Prompt tokens of requests without first event. */
  readonly unreadTokens: number;
  /** Age of the last event of any stream there; -1 for none. */
  readonly progressAgeMs: number;
  /** The target may have failed: it is avoided while others can take the work. */
  readonly isSuspect: boolean;
  /** Its streams are much slower than the published costs predict. */
  readonly isSlow: boolean;
  /** Recent sends to a target that names a limit, weighted by age; undefined if it names none. */
  readonly recentSends?: number;
}

/** An engine that the store no longer lists; `ageMs` is the time since then. */
export interface DepartedEngine {
  readonly vmId: VmId;
  readonly address: string;
  readonly bornAtMs: number;
  readonly ageMs: number;
}

/** A node as registered in the store. */
export interface RegisteredNode {
  readonly nodeId: NodeId;
  /** UDP address, for digests. */
  readonly peerAddress: string;
  readonly zone: ZoneId;
  /** Available CPU time, in cores. */
  readonly coreCount: number;
}

/** A node in the roster of a relay. */
export interface RosterNode {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly coreCount: number;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** Time since its relay received a digest from it. */
  readonly ageMs: number;
  /** Services whose engines the node can't reach. */
  readonly unreachableServices: readonly ServiceName[];
}

/** Whose requests a digest counts: those of the sender, of the sender's zone, or of all nodes. */
export type DigestScope = 'node' | 'zone' | 'fleet';

/** State that a node sends to its peers several times a second, or that a relay summarizes for others. */
export interface LoadDigest {
  readonly scope: DigestScope;
  readonly from: NodeId;
  /** Identifies the incarnation of the sender; differs after a restart. */
  readonly incarnation: number;
  /** By the sender's monotonic clock, whose origin is arbitrary. */
  readonly sentAtMs: number;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly coreCount: number;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** Services whose engines the sender can't reach. */
  readonly unreachableServices: readonly ServiceName[];
  /** The sender is the steward, or a relay that forwards the steward's data. */
  readonly isSteward: boolean;
  /** Peer address of the steward; undefined if unknown. */
  readonly stewardAddress?: string;
  /** Recent changes of engines; sent in several digests, since datagrams may be lost. */
  readonly changes: readonly EngineChange[];
  /** Latest era of the store known to the sender; 0 for none. The era rises when the store is restored from a backup. */
  readonly storeEra: number;
  readonly configVersion: number;
  /** Age of the proof that this version is the newest; -1 for none. A node sends the age of its own read of the store, a relay that of any proof that it accepts. */
  readonly configProofAgeMs: number;
  /** Number of the steward's or the sender's engine records and the sum of their revisions: a checksum that detects differing records. */
  readonly engineCount: number;
  readonly revisionSum: number;
  /** Age of the read of the engines from the store; -1 for none. */
  readonly fleetProofAgeMs: number;
  readonly loads: readonly DigestLoad[];
  /** The sender's retries in the window of the retry budget; undefined while its earlier process may have made others. */
  readonly retries?: readonly RetryCount[];
  /** Limits that engines name, or have ceased to name. */
  readonly limits: readonly LimitReport[];
  /** Targets that start slowly, or have recovered lately. */
  readonly paces?: readonly PaceReport[];
  /** Engines that said that they are cold. */
  readonly coldEngines?: readonly ColdReport[];
  /** Recently admitted work by pool and organisation, the largest counts only; undefined if there is none, and in digests of earlier builds. */
  readonly work?: readonly WorkRow[];
  /** Replaced processes of other nodes, for the processes that replaced them. */
  readonly predecessors: readonly PredecessorEntry[];
  /** Number of nodes whose requests the digest counts. */
  readonly nodeCount: number;
  /** Nodes known to a relay; empty in most digests, since it changes rarely. */
  readonly roster: readonly RosterNode[];
  /** `sentAtMs` of the receiver's own digest that the summary includes; set by the sender for each receiver. */
  readonly countedSentAtMs?: number;
  /** Engines that the store no longer lists, for nodes that have just started. */
  readonly departed: readonly DepartedEngine[];
  /** Engines that the steward requests some peers to probe. */
  readonly probeRequests: readonly {
    readonly vmId: VmId;
    readonly address: string;
    readonly peers: readonly NodeId[];
  }[];
  /** Results of the probes that the steward requested. */
  readonly probeReports: readonly {
    readonly vmId: VmId;
    readonly nodeId: NodeId;
    readonly isSilent: boolean;
    /** Time since the engine's response; undefined if it sent none, and in digests of earlier builds. */
    readonly ageMs?: number;
  }[];
  /** Requests and prompt parts that the sender suspects of crashing their targets. */
  readonly suspects: readonly CrashSuspectEntry[];
  /** Crashes of engines that the sender has learned of lately. */
  readonly crashReports: readonly CrashReportEntry[];
  /** Runs that lately ruled out a crash by what they hold. */
  readonly survivals: readonly SurvivalEntry[];
  /** Engines that announced that they are leaving, to the sender or to its peers. */
  readonly leavingEngines: readonly LeavingReport[];
  /** Evacuated zones; undefined while the sender does not know them, and in digests of earlier builds. */
  readonly evacuation?: EvacuationReport;
  /** Engines found to be lost before their store entries expired. */
  readonly lostEngines: readonly {
    readonly vmId: VmId;
    readonly bornAtMs: number;
    readonly ageMs: number;
  }[];
}

/** Estimate of the delay of a peer's digests. */
export interface PeerLink {
  readonly incarnation: number;
  /** When the first digest of this incarnation arrived. */
  readonly firstReceivedAtMs: number;
  /** Smallest difference observed between this node's clock and the sender's. */
  readonly minOffsetMs: number;
  /** How much longer the last digest took than the fastest one, including time in which this node was suspended. */
  readonly delayMs: number;
}

/** The latest digest with the requests of one node, one zone or the fleet. */
export interface PeerView {
  readonly digest: LoadDigest;
  /** When it arrived. */
  readonly atMs: number;
  readonly link: PeerLink;
  /** The last non-empty roster, and when it arrived. */
  readonly roster: readonly RosterNode[];
  readonly rosterAtMs: number;
}

/** Last sign of life of a node, from its own digest or a relay's roster. */
export interface NodeContact {
  readonly atMs: number;
  readonly isLeaving: boolean;
  /** It can't reach the engines of some service. */
  readonly isPartitioned: boolean;
  /** Undefined if known from rosters only. */
  readonly peerAddress?: string;
}

/** State of this node's exchange of digests with its peers. */
export interface ExchangeState {
  /** Nodes registered in the store, including this one once it is registered. */
  readonly registeredNodes: Map<NodeId, RegisteredNode>;
  /** The registry of nodes was read from the store. */
  hasReadRegistry: boolean;
  /** Digests go through relays, since a zone has too many nodes for direct exchange. */
  isRelayed: boolean;
  /** This node's rank among the relays of its zone; -1 if it is none. */
  relayRank: number;
  /** Relays of each zone that this node sends to, in rank order. */
  relays: Map<ZoneId, readonly RegisteredNode[]>;
  /** Last sign of life of each node. */
  readonly contacts: Map<NodeId, NodeContact>;
  /** Since when a relay has been sent digests without any digest in return. */
  readonly unansweredSinceMs: Map<NodeId, number>;
  readonly links: Map<NodeId, PeerLink>;
  /** When a digest or roster was last sent, by receiver or group. */
  readonly sentAtMs: Map<string, number>;
  /** Loads in this node's last digests, by `sentAtMs`: a relay's summary includes one of them. */
  readonly sentLoads: Map<number, readonly DigestLoad[]>;
}

/** Sum of the requests that peers have in flight at a target. */
export interface PeerLoad {
  inFlight: number;
  unreadTokens: number;
  /** Last event of any stream of a peer there; -Infinity for none. */
  progressAtMs: number;
  suspectUntilMs: number;
  slowUntilMs: number;
}
