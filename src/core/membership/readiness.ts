import type {NodeState} from '../state/types.js';

interface Readiness {
  readonly ready: boolean;
  /** Why the node is not ready, for operators and for refusals of requests; empty when ready. */
  readonly reason: string;
}

/** Whether this node may accept requests: it has caught up with the configuration and is not leaving. */
export function readiness(state: NodeState, _nowMs: number): Readiness {
  const {membership, config, drain} = state;
  if (drain.draining || membership.isLeaving)
    return notReady('the node is draining');
  if (membership.isSuperseded) return notReady('a later start of it was seen');
  if (config.isCatchingUp) return notReady('it is reading the configuration');
  if (config.document.revision === 0)
    return notReady('no configuration is known yet; publish one');
  return {ready: true, reason: ''};
}

function notReady(reason: string): Readiness {
  return {ready: false, reason};
}
