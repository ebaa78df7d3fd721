import type {NodeState} from '../state/types.js';
import type {TargetId} from '../ids/index.js';

/** Number of this node's attempts in flight on a target. */
export function ownInFlight(state: NodeState, targetId: TargetId): number {
  return state.routing.loads.get(targetId)?.own.size ?? 0;
}
