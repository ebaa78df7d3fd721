import type {DomainId} from '../../ids/index.js';
import type {PlanDraft} from './plan_draft.js';
import type {PlanReplica} from './plan_replica.js';
import type {ServiceStanding} from './service_standing.js';
import {countSound} from './count_sound.js';
import {isIntact} from './is_intact.js';

/** How long a service must be short of replicas before replicas of others are moved or preempted for it. */
const DISRUPTION_DELAY_MS = 30_000;

interface Candidate {
  readonly replica: PlanReplica;
  readonly kind: 'drain' | 'retire';
}

/**
 * Reserves a domain that will have enough free VMs for a missing replica: VMs
 * being released anyway, VMs of broken replicas, VMs of a smaller replica that
 * fits elsewhere, or VMs of a lower-priority service with replicas to spare.
 */
export function makeRoom(draft: PlanDraft, standing: ServiceStanding): boolean {
  if (reserveComing(draft, standing)) return true;
  if (dissolveBroken(draft, standing)) return true;
  const lackingMs = draft.view.lackingMs.get(standing.service.name) ?? 0;
  if (lackingMs < DISRUPTION_DELAY_MS) return false; // lost VMs often return soon
  return moveSmaller(draft, standing) || preempt(draft, standing);
}

function countLacking(
  draft: PlanDraft,
  {service}: ServiceStanding,
  domain: DomainId,
): number {
  const have = draft.countFree(domain) + draft.countComing(domain);
  return service.vmsPerReplica - have;
}

function reserveComing(draft: PlanDraft, standing: ServiceStanding): boolean {
  const {service} = standing;
  const domain = draft.domains.find(
    one => countLacking(draft, standing, one) <= 0,
  );
  if (domain === undefined) return false;
  draft.reserve(domain, service.vmsPerReplica);
  return true;
}

function dissolveBroken(draft: PlanDraft, standing: ServiceStanding): boolean {
  for (const domain of draft.domains) {
    const broken = draft.view.replicas.filter(
      replica =>
        replica.domain === domain &&
        replica.entry.state !== 'draining' &&
        !isIntact(replica) &&
        !draft.isExcluded(replica) &&
        mayDissolve(draft, standing, replica),
    );
    const usable = broken.reduce((sum, one) => sum + countSound(one), 0);
    if (countLacking(draft, standing, domain) > usable) continue;
    for (const replica of broken) {
      if (countLacking(draft, standing, domain) <= 0) break;
      vacate(draft, {replica, kind: 'drain'}, 'dissolved');
    }
    draft.reserve(domain, standing.service.vmsPerReplica);
    return true;
  }
  return false;
}

/** A broken replica of a more urgent service is kept for repair until its service was short for long. */
function mayDissolve(
  draft: PlanDraft,
  standing: ServiceStanding,
  {entry}: PlanReplica,
): boolean {
  const lackingMs = draft.view.lackingMs.get(entry.service) ?? 0;
  if (lackingMs >= DISRUPTION_DELAY_MS) return true;
  const rankOf = (name: string) =>
    draft.standings.findIndex(one => one.service.name === name);
  return rankOf(entry.service) >= rankOf(standing.service.name);
}

function moveSmaller(draft: PlanDraft, standing: ServiceStanding): boolean {
  const needed = standing.service.vmsPerReplica;
  const movable = draft.standings
    .flatMap(one => one.current)
    .filter(isIntact)
    .filter(one => one.entry.state === 'serving' && !draft.isExcluded(one))
    .filter(one => one.vms.length < needed)
    .filter(one => countLacking(draft, standing, one.domain) <= one.vms.length)
    .filter(one => hasRoomElsewhere(draft, one))
    .sort((a, b) => a.vms.length - b.vms.length || compareIds(a, b));
  const replica = movable[0];
  if (!replica) return false;
  vacate(draft, {replica, kind: 'retire'}, 'surplus');
  draft.reserve(replica.domain, needed);
  return true;
}

function preempt(draft: PlanDraft, standing: ServiceStanding): boolean {
  const {service, serving} = standing;
  if (serving >= Math.max(1, service.minServing)) return false;
  for (const donor of [...draft.standings].reverse()) {
    if (donor.service.priority >= service.priority) continue;
    if (donor.serving - 1 < Math.max(1, donor.service.minServing)) continue;
    const replica = donor.current.find(
      one =>
        one.entry.state === 'serving' &&
        isIntact(one) &&
        !draft.isExcluded(one) &&
        countLacking(draft, standing, one.domain) <= one.vms.length,
    );
    if (!replica) continue;
    donor.serving -= 1;
    vacate(draft, {replica, kind: 'drain'}, 'preempted');
    draft.reserve(replica.domain, service.vmsPerReplica);
    return true;
  }
  return false;
}

function hasRoomElsewhere(draft: PlanDraft, replica: PlanReplica): boolean {
  return draft.domains.some(
    domain =>
      domain !== replica.domain &&
      draft.countFree(domain) >= replica.vms.length,
  );
}

function vacate(
  draft: PlanDraft,
  {replica, kind}: Candidate,
  reason: 'dissolved' | 'preempted' | 'surplus',
): void {
  const {domain, entry} = replica;
  const {replicaId} = entry;
  if (kind === 'retire') draft.addAction({kind, domain, replicaId});
  else draft.addAction({kind, domain, replicaId, reason});
  draft.noteComing(replica);
}

function compareIds(a: PlanReplica, b: PlanReplica): number {
  return a.entry.replicaId < b.entry.replicaId ? -1 : 1;
}
