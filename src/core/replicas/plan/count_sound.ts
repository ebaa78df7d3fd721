import type {PlanReplica} from './plan_replica.js';

/** Counts the VMs of the replica that are neither lost nor leaving. */
export function countSound({vms}: PlanReplica): number {
  return vms.filter(
    ({condition}) => condition === 'free' || condition === 'sound',
  ).length;
}
