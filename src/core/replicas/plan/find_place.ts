import type {DomainId} from '../../ids/index.js';
import type {PlanDraft} from './plan_draft.js';
import type {ServiceStanding} from './service_standing.js';

/** Finds the domain in which a new replica strands the fewest VMs; ties go to the fewest replicas of its service. */
export function findPlace(
  draft: PlanDraft,
  {service, current, old}: ServiceStanding,
): DomainId | undefined {
  const needed = service.vmsPerReplica;
  const smallest = Math.min(
    ...draft.view.services.map(one => one.vmsPerReplica),
  );
  const rank = (domain: DomainId): readonly number[] => {
    const left = draft.countFree(domain) - needed;
    return [
      old.filter(one => one.domain === domain && one.entry.isRetiring).length,
      left < smallest ? left : 0,
      current.filter(one => one.domain === domain).length +
        countPlanned(draft, service.name, domain),
      left,
    ];
  };
  const fitting = draft.domains.filter(one => draft.countFree(one) >= needed);
  return fitting
    .map(domain => ({domain, rank: rank(domain)}))
    .sort((a, b) => compare(a.rank, b.rank))[0]?.domain;
}

function countPlanned(
  draft: PlanDraft,
  service: string,
  domain: DomainId,
): number {
  return draft.actions.filter(
    action =>
      action.kind === 'create' &&
      action.service === service &&
      action.domain === domain,
  ).length;
}

function compare(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    if (value !== b[index]) return value - b[index]!;
  }
  return 0;
}
