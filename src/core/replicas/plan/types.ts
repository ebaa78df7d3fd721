export type {PlanAction} from './plan_action.js';
export type {PlanReplica} from './plan_replica.js';
export type {PlanService} from './plan_service.js';
export type {PlanView} from './plan_view.js';
export type {PlanVm} from './plan_vm.js';
export type {ReplicaPlanner} from './replica_planner.js';
