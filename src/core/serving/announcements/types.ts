import type {VmId} from '../../ids/index.js';

/** An engine that announced that it is leaving, in a response to this node or to a peer. */
export interface LeavingEngine {
  /** Identifies the incarnation that is leaving. */
  readonly bornAtMs: number;
  /** When it was first announced, by this node's clock. */
  readonly atMs: number;
  /** Announced to this node itself, not only to a peer. */
  readonly isFirstHand: boolean;
}

/** Announcements that engines make in the headers of their responses. */
export interface AnnouncementState {
  readonly leaving: Map<VmId, LeavingEngine>;
  /** End of the back-off that each engine requested from this node. */
  readonly backoffUntilMs: Map<VmId, number>;
}

/** A peer's report that an engine is leaving. */
export interface LeavingReport {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  /** Time since the announcement. */
  readonly ageMs: number;
}
