import type {DomainId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {callStewardStore} from './call_steward_store.js';
import {createStewardship} from './create_stewardship.js';
import {keepStewardLease} from './keep_steward_lease.js';
import {rankSelf} from './rank_self.js';
import {readDocument} from './read_document.js';
import {stewardKey} from './steward_key.js';
import {stewardRecord} from './steward_record.js';

/** Bounds the wait of candidates of low rank. */
const MAX_RANK = 4;

/** Claims domains that have no steward; the wait before a claim grows with the rank of the candidate. */
export function claimDomains(step: Step): void {
  const {replicas} = step.state;
  if (!replicas.stewardWatch.isListed) return;
  for (const domain of listDomains(step)) {
    if (replicas.stewardships.has(domain)) continue;
    const holder = replicas.stewardWatch.entries.get(stewardKey(domain));
    if (holder?.value) {
      if (holder.value === stewardRecord(step)) resume(step, domain);
      else replicas.vacantSinceMs.delete(domain);
      continue;
    }
    const sinceMs = replicas.vacantSinceMs.get(domain) ?? step.nowMs;
    replicas.vacantSinceMs.set(domain, sinceMs);
    const rank = Math.min(rankSelf(step, domain), MAX_RANK);
    const waitMs = rank * STEWARD_TIMING.candidateStepMs;
    if (step.nowMs - sinceMs >= waitMs) claim(step, domain);
  }
}

function listDomains({state}: Step): Set<DomainId> {
  const domains = new Set(state.replicas.documents.keys());
  for (const {domain} of state.targets.vms.values()) {
    if (domain !== undefined) domains.add(domain);
  }
  return domains;
}

function claim(step: Step, domain: DomainId): void {
  const {leaseId} = step.state.replicas.lease;
  if (leaseId === undefined) {
    keepStewardLease(step);
    return;
  }
  const stewardship = createStewardship(domain);
  step.state.replicas.stewardships.set(domain, stewardship);
  callStewardStore(step, stewardship, 'claim', {
    kind: 'compareAndSwap',
    key: stewardKey(domain),
    expectedVersion: 0,
    value: stewardRecord(step),
    leaseId,
  });
}

/** Continues after a claim of this node that took effect although its response was lost. */
function resume(step: Step, domain: DomainId): void {
  const {stewardships, vacantSinceMs} = step.state.replicas;
  if (step.nowMs < (vacantSinceMs.get(domain) ?? 0)) return;
  const stewardship = createStewardship(domain);
  stewardship.phase = 'reading';
  stewardships.set(domain, stewardship);
  readDocument(step, stewardship);
}
