import type {NodeState} from '../core/state/types.js';
import {readiness} from '../core/membership/index.js';

interface Readiness {
  readonly ready: boolean;
  readonly revision: number;
  /** Why the node accepts no requests; absent when it is ready. */
  readonly reason?: string;
}

/** Returns whether a node accepts requests from callers, with the reason if it does not. */
export function resolveReadiness(state: NodeState, nowMs: number): Readiness {
  const {revision} = state.config.document;
  const {ready, reason} = readiness(state, nowMs);
  return ready ? {ready, revision} : {ready, revision, reason};
}
