import type {PlanAction} from './plan_action.js';
import type {PlanView} from './plan_view.js';

/** Decides which replicas are built, mended and given up. */
export interface ReplicaPlanner {
  plan(view: PlanView): PlanAction[];
}
