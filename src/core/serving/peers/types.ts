import type {EngineChange} from '../../fleet/types.js';
import type {ToldLeaving} from '../announcements/types.js';
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

/** A node as the store's registry lists it. */
export interface ListedNode {
  readonly nodeId: NodeId;
  /** UDP, for digests. */
  readonly peerAddress: string;
  readonly zone: ZoneId;
  /** Processor time that it has a second, in cores. */
  readonly coreCount: number;
}

/** A node as its relay tells of it. */
export interface RosterNode {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly coreCount: number;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** Since its relay heard it. */
  readonly ageMs: number;
}

/** Whose requests a digest counts: the sender's, those of its zone, or all. */
export type DigestScope = 'node' | 'zone' | 'fleet';

/** What a node tells its peers several times a second, or a relay for others. */
export interface LoadDigest {
  readonly scope: DigestScope;
  readonly from: NodeId;
  /** Tells one life of the sender from the next. */
  readonly life: number;
  /** By the sender's clock, which starts anywhere. */
  readonly sentAtMs: number;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly coreCount: number;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** The sender gives the orders, or tells what the steward says. */
  readonly isSteward: boolean;
  /** Peer address of the steward, where it is known. */
  readonly stewardAddress?: string;
  readonly changes: readonly EngineChange[];
  /** The latest era of the store that the sender knows of; 0 where it knows of none. */
  readonly storeEra: number;
  readonly configVersion: number;
  /** Age of the proof that this version is the newest; -1 for none. A node tells its own reading of the store, a relay any that it trusts. */
  readonly configProofAgeMs: number;
  /** Count and sum of revisions of the engines that the steward, or the sender, knows: equal where the engines are. */
  readonly engineCount: number;
  readonly revisionSum: number;
  /** Age of the reading of the engines from the store; -1 for none. */
  readonly fleetProofAgeMs: number;
  readonly loads: readonly DigestLoad[];
  /** Nodes that are counted. */
  readonly nodeCount: number;
  /** Nodes that the sender tells of; empty in most digests, since it changes seldom. */
  readonly roster: readonly RosterNode[];
  /** `sentAtMs` of the receiver's own digest that is counted; set by the sender for each receiver. */
  readonly countedSentAtMs?: number;
  /** Engines that the store dropped, for nodes that have just started. */
  readonly departed: readonly DepartedEngine[];
  /** Engines that the steward asks some peers to look for. */
  readonly asks: readonly {
    readonly vmId: VmId;
    readonly address: string;
    readonly peers: readonly NodeId[];
  }[];
  /** What nodes found when they looked for engines. */
  readonly opinions: readonly {
    readonly vmId: VmId;
    readonly nodeId: NodeId;
    readonly isSilent: boolean;
  }[];
  /** Requests whose last targets were lost while they ran. */
  readonly suspects: readonly {
    readonly fingerprint: Fingerprint;
    readonly losses: number;
    /** For how long it is still to be taken as one. */
    readonly leftMs: number;
  }[];
  /** Engines that said they are leaving, to the sender or to those it heard. */
  readonly leavingEngines: readonly ToldLeaving[];
  /** Engines that a steward found to be lost before the store did. */
  readonly lostEngines: readonly {
    readonly vmId: VmId;
    readonly bornAtMs: number;
    readonly ageMs: number;
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

/** The last digest that counts the requests of a node, a zone or all. */
export interface PeerView {
  readonly digest: LoadDigest;
  readonly atMs: number;
  readonly link: PeerLink;
  /** The last roster that was told, and when. */
  readonly roster: readonly RosterNode[];
  readonly rosterAtMs: number;
}

/** Last sign of life of a node, from itself or by a relay. */
export interface HeardNode {
  readonly atMs: number;
  readonly isLeaving: boolean;
  readonly peerAddress?: string;
}

/** How this node takes part in the exchange of digests. */
export interface ExchangeState {
  /** Nodes that the store lists, this one included once it is. */
  readonly listed: Map<NodeId, ListedNode>;
  hasListed: boolean;
  /** Digests go by relays, since a zone has more nodes than tell each other directly. */
  isRelayed: boolean;
  /** This node's place among the relays of its zone; -1: it is none. */
  relayRank: number;
  /** Relays of each zone that this node sends to, the first in rank first. */
  relays: Map<ZoneId, readonly ListedNode[]>;
  readonly heard: Map<NodeId, HeardNode>;
  /** Since when a relay was sent digests and was not heard. */
  readonly triedAtMs: Map<NodeId, number>;
  readonly links: Map<NodeId, PeerLink>;
  /** When each peer or zone was last sent a digest. */
  readonly sentAtMs: Map<string, number>;
  /** Loads of this node's last digests, by `sentAtMs`: a relay's sum holds one of them. */
  readonly told: Map<number, readonly DigestLoad[]>;
}

/** Sum of what peers have in flight at a target. */
export interface PeerLoad {
  inFlight: number;
  unreadTokens: number;
  progressAtMs: number;
  suspectUntilMs: number;
  slowUntilMs: number;
}
