import type {PlanDraft} from './plan_draft.js';
import type {PlanReplica} from './plan_replica.js';
import type {ServiceStanding} from './service_standing.js';
import {countSound} from './count_sound.js';
import {isIntact} from './is_intact.js';

/**
 * Repairs a broken replica with VMs of another replica in its domain: one that is
 * broken too, or a small one of a lower-priority service, provided that fewer VMs
 * stop serving than resume.
 */
export function planDonations(draft: PlanDraft): void {
  for (const standing of draft.standings) {
    const broken = standing.current
      .filter(replica => !isIntact(replica) && !draft.isExcluded(replica))
      .sort((a, b) => countSound(b) - countSound(a));
    for (const replica of broken) {
      if (standing.missing <= 0) break;
      if (draft.isExcluded(replica)) continue;
      if (repair(draft, standing, replica)) standing.missing -= 1;
    }
  }
}

/** Returns whether the replica will be repaired with VMs that are free or being released. */
function repair(
  draft: PlanDraft,
  standing: ServiceStanding,
  replica: PlanReplica,
): boolean {
  const {domain, vms} = replica;
  const sound = countSound(replica);
  const needed = vms.length - sound;
  const have = draft.countFree(domain) + draft.countComing(domain);
  if (sound === 0) return false;
  if (needed > have) {
    const isTaken =
      takeFromBroken(draft, standing, replica, needed - have) ||
      takeFromSmaller(draft, standing, replica, needed - have);
    if (!isTaken) return false;
  }
  draft.reserve(domain, needed);
  draft.exclude(replica);
  return true;
}

function takeFromBroken(
  draft: PlanDraft,
  standing: ServiceStanding,
  replica: PlanReplica,
  lacking: number,
): boolean {
  const rank = draft.standings.indexOf(standing);
  const source = draft.standings
    .slice(rank)
    .flatMap(one => [...one.old, ...one.current])
    .find(
      one =>
        one !== replica &&
        one.domain === replica.domain &&
        !isIntact(one) &&
        !draft.isExcluded(one) &&
        countSound(one) >= lacking,
    );
  if (!source) return false;
  drain(draft, source, 'dissolved');
  return true;
}

function takeFromSmaller(
  draft: PlanDraft,
  {service}: ServiceStanding,
  replica: PlanReplica,
  lacking: number,
): boolean {
  for (const donor of [...draft.standings].reverse()) {
    if (donor.service.priority >= service.priority) continue;
    if (donor.serving - 1 < resolveReserve(donor)) continue;
    const source = donor.current.find(
      one =>
        one.domain === replica.domain &&
        isIntact(one) &&
        !draft.isExcluded(one) &&
        one.vms.length >= lacking &&
        one.vms.length < countSound(replica),
    );
    if (!source) continue;
    drain(draft, source, 'preempted');
    if (source.entry.state === 'serving') donor.serving -= 1;
    donor.missing += 1;
    return true;
  }
  return false;
}

/** A donor keeps more than its minimum, since its own VMs may be lost next. */
function resolveReserve({service}: ServiceStanding): number {
  return Math.max(service.minServing, Math.ceil(service.replicas / 2));
}

function drain(
  draft: PlanDraft,
  replica: PlanReplica,
  reason: 'dissolved' | 'preempted',
): void {
  const {domain, entry} = replica;
  const {replicaId} = entry;
  draft.addAction({kind: 'drain', domain, replicaId, reason});
  draft.noteComing(replica);
}
