import type {VmId} from '../../ids/index.js';

/** What shows that an engine is cold; a cold time always ends by itself. */
export interface ColdEvidence {
  /** End of the cold time that the engine named; -Infinity for none. */
  untilMs: number;
  /** When the engine was last taken to be cold for the whole cold time of its service; -Infinity for never. */
  wholeSinceMs: number;
  /** The engine itself said so to this node, not only to a peer or to the store. */
  isFirstHand: boolean;
}

/** Whether this node may send to a cold engine, as decided at a time. */
export interface ColdOwnership {
  readonly isOwner: boolean;
  readonly atMs: number;
}

/** What a node knows about engines that tolerate few requests after a start. */
export interface ColdnessState {
  readonly evidence: Map<VmId, ColdEvidence>;
  /** Times of this node's latest sends to each engine whose service may be cold. */
  readonly sendTimesMs: Map<VmId, number[]>;
  readonly ownership: Map<VmId, ColdOwnership>;
  /** When this process first read the registry of nodes; undefined before. */
  registryReadAtMs?: number;
}

/** Limits on requests to the cold engines of a service. */
export interface ColdRules {
  /** How long an engine is cold after its start. */
  readonly coldMs: number;
  /** Requests that one owner may send to a cold engine within the window. */
  readonly quota: number;
}

/** A cold engine in a digest. */
export interface ColdReport {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  /** Remaining cold time. */
  readonly leftMs: number;
}

/** What a request may wait for when all its targets are closed to this node because they are cold. */
export interface ColdWait {
  /** When the first of them opens. */
  readonly opensAtMs: number;
  /** The request gets a target before it would be refused. */
  readonly canWait: boolean;
}
