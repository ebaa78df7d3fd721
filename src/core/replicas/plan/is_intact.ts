import type {PlanReplica} from './plan_replica.js';

/** Whether no VM of the replica is lost or leaving. */
export function isIntact({vms}: PlanReplica): boolean {
  return vms.every(
    ({condition}) => condition === 'free' || condition === 'sound',
  );
}
