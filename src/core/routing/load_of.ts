import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import type {TargetLoad} from './target_load.js';

/** Returns the load account of a target; creates it on first use. */
export function loadOf(step: Step, targetId: TargetId): TargetLoad {
  const {loads} = step.state.routing;
  const known = loads.get(targetId);
  if (known) return known;
  const load: TargetLoad = {
    targetId,
    own: new Map(),
    ended: [],
    reportedOtherLoad: 0,
    failures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    returnedAtMs: 0,
  };
  loads.set(targetId, load);
  return load;
}
