import type {NodeState} from '../state/types.js';

interface Readiness {
  readonly ready: boolean;
  /** Why not; for operators and for the refusals of a node that is not ready. */
  readonly reason: string;
}

/** Whether this node may take requests: it has the newest configuration it can know of, and stays. */
export function readiness(state: NodeState, _nowMs: number): Readiness {
  const {membership, config, drain} = state;
  if (drain.draining || membership.isLeaving) return no('the node is draining');
  if (membership.isSuperseded) return no('a later start of it was seen');
  if (config.isCatchingUp) return no('it is reading the configuration');
  if (config.document.revision === 0)
    return no('no configuration is known yet; publish one');
  return {ready: true, reason: ''};
}

function no(reason: string): Readiness {
  return {ready: false, reason};
}
