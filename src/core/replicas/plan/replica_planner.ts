import type {PlanAction} from './plan_action.js';
import type {PlanView} from './plan_view.js';

/** Decides which replicas are created, repaired and drained. */
export interface ReplicaPlanner {
  plan(view: PlanView): PlanAction[];
}
