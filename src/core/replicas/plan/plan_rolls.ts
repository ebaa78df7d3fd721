import type {PlanDraft} from './plan_draft.js';
import type {PlanReplica} from './plan_replica.js';
import type {ServiceStanding} from './service_standing.js';
import {isUpToDate} from './is_up_to_date.js';
import {isWhole} from './is_whole.js';

/** Gives up outdated and retiring replicas, never below the minimum that must serve. */
export function planRolls(draft: PlanDraft): void {
  for (const standing of draft.standings) {
    const {old} = standing;
    if (old.length === 0) continue;
    const kept = standing.isBlocked ? old.filter(mayStay(standing)) : [];
    for (const {domain, entry} of kept) {
      draft.act({kind: 'keep', domain, replicaId: entry.replicaId});
    }
    dropOld(draft, standing);
  }
}

/** A retiring replica stays when its service finds no other place. */
function mayStay({service}: ServiceStanding) {
  return (replica: PlanReplica) =>
    replica.entry.isRetiring === true &&
    isWhole(replica) &&
    isUpToDate(replica.entry, service);
}

function dropOld(draft: PlanDraft, standing: ServiceStanding): void {
  const {service, old} = standing;
  let {serving} = standing;
  const minimum = standing.isBlocked ? service.minServing : service.replicas;
  // One at a time for lack of room: its VMs then come free for its successor.
  let forRoom = standing.isBlocked ? 1 : 0;
  for (const replica of old) {
    if (draft.isTouched(replica)) continue;
    const isServing = replica.entry.state === 'serving' && isWhole(replica);
    if (!isServing) {
      drop(draft, replica);
      continue;
    }
    const isSurplus = serving - 1 >= service.replicas;
    if (!isSurplus && forRoom === 0) continue;
    if (serving - 1 < minimum) continue;
    if (!isSurplus) forRoom -= 1;
    serving -= 1;
    drop(draft, replica);
  }
}

function drop(draft: PlanDraft, {domain, entry}: PlanReplica): void {
  const {replicaId} = entry;
  draft.act({kind: 'drain', domain, replicaId, reason: 'outdated'});
}
