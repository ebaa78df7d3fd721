import type {DomainId} from '../../ids/index.js';
import type {PlanVm} from './plan_vm.js';
import type {ReplicaEntry} from '../replica_entry.js';

/** A replica and the condition of its VMs, as input of the planner. */
export interface PlanReplica {
  readonly entry: ReplicaEntry;
  readonly domain: DomainId;
  readonly vms: readonly PlanVm[];
  /** Whether its leader reports neither running nor queued requests. */
  readonly isIdle: boolean;
}
