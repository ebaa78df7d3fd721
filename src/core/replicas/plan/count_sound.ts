import type {PlanReplica} from './plan_replica.js';

/** VMs of the replica that are neither lost nor leave. */
export function countSound({vms}: PlanReplica): number {
  return vms.filter(
    ({condition}) => condition === 'free' || condition === 'sound',
  ).length;
}
