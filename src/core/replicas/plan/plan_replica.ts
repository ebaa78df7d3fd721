import type {DomainId} from '../../ids/index.js';
import type {PlanVm} from './plan_vm.js';
import type {ReplicaEntry} from '../replica_entry.js';

/** A replica as the planner sees it. */
export interface PlanReplica {
  readonly entry: ReplicaEntry;
  readonly domain: DomainId;
  readonly vms: readonly PlanVm[];
  /** Its engines run no request. */
  readonly isIdle: boolean;
}
