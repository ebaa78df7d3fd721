import type {NodeState} from '../core/state/types.js';
import {readiness} from '../core/membership/index.js';

interface Readiness {
  readonly ready: boolean;
  readonly revision: number;
  /** Why the node takes no requests. */
  readonly reason?: string;
}

/** Says whether a node takes callers' requests, and if not, why. */
export function resolveReadiness(state: NodeState, nowMs: number): Readiness {
  const {revision} = state.config.document;
  const {ready, reason} = readiness(state, nowMs);
  return ready ? {ready, revision} : {ready, revision, reason};
}
