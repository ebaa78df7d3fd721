import type {PlanService} from './plan_service.js';
import type {ReplicaEntry} from '../replica_entry.js';

/** Whether the replica has the model and size that its service file states; adapters are changed in place. */
export function isUpToDate(entry: ReplicaEntry, service: PlanService): boolean {
  return (
    entry.model === service.model &&
    entry.version === service.version &&
    entry.vms.length === service.vmsPerReplica
  );
}
