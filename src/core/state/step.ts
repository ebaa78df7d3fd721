import type {Effect} from '../effects/types.js';
import type {NodeState} from './node_state.js';

/** One run of the reducer: the state, the time of the event, and the effects emitted so far. */
export interface Step {
  readonly state: NodeState;
  readonly nowMs: number;
  readonly effects: Effect[];
}
