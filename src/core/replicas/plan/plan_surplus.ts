import type {PlanDraft} from './plan_draft.js';
import type {PlanReplica} from './plan_replica.js';
import type {ServiceStanding} from './service_standing.js';
import {isIntact} from './is_intact.js';

const STATE_RANK = {planned: 0, loading: 1, serving: 2, draining: 3} as const;

/** Drains replicas that no service file requests, and those that have lost all their VMs. */
export function planSurplus(draft: PlanDraft): void {
  planRemoved(draft);
  for (const standing of draft.standings) {
    planExcess(draft, standing);
  }
}

function planRemoved(draft: PlanDraft): void {
  const known = new Set<string>(draft.view.services.map(one => one.name));
  for (const {domain, entry, vms} of draft.view.replicas) {
    if (entry.state === 'draining') continue;
    const {replicaId} = entry;
    if (!known.has(entry.service)) {
      draft.addAction({kind: 'drain', domain, replicaId, reason: 'removed'});
    } else if (vms.every(({condition}) => condition === 'gone')) {
      draft.addAction({kind: 'drain', domain, replicaId, reason: 'lost'});
    }
  }
}

function planExcess(draft: PlanDraft, standing: ServiceStanding): void {
  const {service, current} = standing;
  const whole = current.filter(isIntact).length;
  if (whole < service.replicas) return;
  const surplus = [...current]
    .sort(compareWorth)
    .slice(0, current.length - service.replicas);
  for (const {domain, entry} of surplus) {
    const {replicaId} = entry;
    draft.addAction({kind: 'drain', domain, replicaId, reason: 'surplus'});
  }
}

/**
 * Orders the least useful replicas first, then those repaired most often. All
 * stewards must choose the same ones, so that the order depends on the documents
 * and the condition of VMs only.
 */
function compareWorth(a: PlanReplica, b: PlanReplica): number {
  return (
    Number(isIntact(a)) - Number(isIntact(b)) ||
    STATE_RANK[a.entry.state] - STATE_RANK[b.entry.state] ||
    b.entry.generation - a.entry.generation ||
    (a.entry.replicaId < b.entry.replicaId ? 1 : -1)
  );
}
