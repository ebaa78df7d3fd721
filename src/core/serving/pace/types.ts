import type {VmId} from '../../ids/index.js';

/** What all nodes have learned of the pace of a target that is new or has come back. */
export interface PaceRecord {
  /** Identifies the incarnation of the engine. */
  readonly bornAtMs: number;
  /** Requests without a first event that all nodes together keep there. */
  window: number;
  /** When the latest first event or failure showed it; the start of the recovery before. */
  evidenceAtMs: number;
  /** Rounds in a row without a late first event; a round ends with a first event of a request that was sent in it. */
  onTimeRounds: number;
  roundStartedAtMs: number;
  /** The window is not reduced again for requests that were sent before. */
  reducedAtMs: number;
  /** The target takes requests without this limit again; kept for a while to tell peers. */
  hasRecovered: boolean;
}

/** This node's share of the window of a target, as decided at a time. */
export interface PaceRank {
  readonly rank: number;
  readonly nodeCount: number;
  readonly atMs: number;
}

/** State of the slow start of targets. */
export interface PaceState {
  /** Targets that are recovering, or have recovered lately. */
  readonly records: Map<VmId, PaceRecord>;
  /** Open targets, with the start time of their engines; undefined before the first list of engines. */
  seen?: Map<VmId, number>;
  readonly ranks: Map<VmId, PaceRank>;
}

/** The pace of a recovering target in a digest. */
export interface PaceReport {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  readonly window: number;
  /** Time since the evidence. */
  readonly ageMs: number;
  readonly hasRecovered: boolean;
}
