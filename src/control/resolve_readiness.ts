import type {NodeState} from '../core/state/types.js';

interface Readiness {
  readonly ready: boolean;
  readonly revision: number;
  /** Why the node takes no requests. */
  readonly reason?: string;
}

/** Says whether a node takes callers' requests, and if not, why. */
export function resolveReadiness(state: NodeState): Readiness {
  const {revision} = state.config.document;
  if (state.drain.draining) {
    return {ready: false, revision, reason: 'the node is draining'};
  }
  if (revision === 0) {
    const reason = 'no configuration is known yet; publish one';
    return {ready: false, revision, reason};
  }
  return {ready: true, revision};
}
