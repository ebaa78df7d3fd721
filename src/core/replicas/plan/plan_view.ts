import type {DomainId, ServiceName} from '../../ids/index.js';
import type {PlanReplica} from './plan_replica.js';
import type {PlanService} from './plan_service.js';
import type {PlanVm} from './plan_vm.js';

/** Complete input of a plan. Nodes with equal views make equal plans. */
export interface PlanView {
  readonly services: readonly PlanService[];
  readonly replicas: readonly PlanReplica[];
  /** How long each service has been short of replicas; absent for services that are not. */
  readonly lackingMs: ReadonlyMap<ServiceName, number>;
  /** Free VMs of each fabric domain, sorted by id; every domain with a document has a list. */
  readonly free: ReadonlyMap<DomainId, readonly PlanVm[]>;
}
