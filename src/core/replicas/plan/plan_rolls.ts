import type {PlanDraft} from './plan_draft.js';
import type {PlanReplica} from './plan_replica.js';
import type {ServiceStanding} from './service_standing.js';
import {isUpToDate} from './is_up_to_date.js';
import {isIntact} from './is_intact.js';

/** Drains outdated and retiring replicas without going below the minimum that must serve. */
export function planRolls(draft: PlanDraft): void {
  for (const standing of draft.standings) {
    const {old} = standing;
    if (old.length === 0) continue;
    const kept = standing.isBlocked ? old.filter(isKeepable(standing)) : [];
    for (const {domain, entry} of kept) {
      draft.addAction({kind: 'keep', domain, replicaId: entry.replicaId});
    }
    drainOld(draft, standing);
  }
}

/** A retiring replica is kept when its service has no room elsewhere. */
function isKeepable({service}: ServiceStanding) {
  return (replica: PlanReplica) =>
    replica.entry.isRetiring === true &&
    isIntact(replica) &&
    isUpToDate(replica.entry, service);
}

function drainOld(draft: PlanDraft, standing: ServiceStanding): void {
  const {service, old} = standing;
  let {serving} = standing;
  const minimum = standing.isBlocked ? service.minServing : service.replicas;
  // Without room, one replica at a time is drained to free its VMs for the successor.
  let drainsForRoom = standing.isBlocked ? 1 : 0;
  for (const replica of old) {
    if (draft.isExcluded(replica)) continue;
    const isServing = replica.entry.state === 'serving' && isIntact(replica);
    if (!isServing) {
      drain(draft, replica);
      continue;
    }
    const isSurplus = serving - 1 >= service.replicas;
    if (!isSurplus && drainsForRoom === 0) continue;
    if (serving - 1 < minimum) continue;
    if (!isSurplus) drainsForRoom -= 1;
    serving -= 1;
    drain(draft, replica);
  }
}

function drain(draft: PlanDraft, {domain, entry}: PlanReplica): void {
  const {replicaId} = entry;
  draft.addAction({kind: 'drain', domain, replicaId, reason: 'outdated'});
}
