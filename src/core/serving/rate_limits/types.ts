import type {VmId} from '../../ids/index.js';

/** The latest word of an engine on the requests that it takes from all nodes together. */
export interface EngineLimit {
  /** Identifies the incarnation that named it. */
  readonly bornAtMs: number;
  /** Requests per second; undefined: the engine has stopped naming a limit. */
  readonly perS?: number;
  /** When the engine said so, by this node's clock. */
  readonly atMs: number;
}

/** Rate limits of engines. */
export interface RateLimitState {
  readonly limits: Map<VmId, EngineLimit>;
}
