import type {PlanDraft} from './plan_draft.js';
import type {PlanService} from './plan_service.js';
import type {ReplicaEntry} from '../replica_entry.js';

/** Updates adapters and slots of replicas to those that the service files state. */
export function planAdaptations(draft: PlanDraft): void {
  for (const {service, current} of draft.standings) {
    for (const {entry, domain} of current) {
      if (isAdapted(entry, service)) continue;
      draft.addAction({kind: 'adapt', domain, replicaId: entry.replicaId});
    }
  }
}

function isAdapted(entry: ReplicaEntry, service: PlanService): boolean {
  return (
    entry.slots === service.slotsPerReplica &&
    entry.adapters.join(' ') === service.adapters.join(' ')
  );
}
