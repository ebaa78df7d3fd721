import type {PlanService} from './plan_service.js';
import type {ReplicaEntry} from '../replica_entry.js';

/** Whether the replica loads what its service file states; adapters change in place. */
export function isUpToDate(entry: ReplicaEntry, service: PlanService): boolean {
  return (
    entry.model === service.model &&
    entry.version === service.version &&
    entry.vms.length === service.vmsPerReplica
  );
}
