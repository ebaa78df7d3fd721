import type {VmId} from '../../ids/index.js';

/** An engine that said it is leaving, in an answer to this node or to a peer. */
export interface LeavingEngine {
  /** The life that is leaving. */
  readonly bornAtMs: number;
  /** When it was said first. */
  readonly atMs: number;
  /** Said to this node itself. */
  readonly isOwn: boolean;
}

/** What engines say of themselves in their answers. */
export interface AnnouncementState {
  readonly leaving: Map<VmId, LeavingEngine>;
  /** Until when each engine wants no requests of this node. */
  readonly quiet: Map<VmId, number>;
}

/** A peer's word that an engine is leaving. */
export interface ToldLeaving {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  readonly ageMs: number;
}
