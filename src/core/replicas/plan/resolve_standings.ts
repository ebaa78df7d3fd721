import type {PlanReplica} from './plan_replica.js';
import type {PlanService} from './plan_service.js';
import type {PlanView} from './plan_view.js';
import type {ServiceStanding} from './service_standing.js';
import {isUpToDate} from './is_up_to_date.js';
import {isIntact} from './is_intact.js';

/** Compares the replicas of each service with its file; the most urgent services come first. */
export function resolveStandings(view: PlanView): ServiceStanding[] {
  const byService = new Map<string, PlanReplica[]>();
  for (const replica of view.replicas) {
    if (replica.entry.state === 'draining') continue;
    const {service} = replica.entry;
    byService.set(service, [...(byService.get(service) ?? []), replica]);
  }
  return view.services
    .map(service => createStanding(service, byService.get(service.name) ?? []))
    .sort(compareUrgency);
}

function createStanding(
  service: PlanService,
  replicas: readonly PlanReplica[],
): ServiceStanding {
  const isCurrent = ({entry}: PlanReplica) =>
    isUpToDate(entry, service) && !entry.isRetiring;
  const current = replicas.filter(isCurrent);
  const whole = replicas.filter(isIntact);
  return {
    service,
    current,
    old: replicas.filter(replica => !isCurrent(replica)),
    serving: whole.filter(({entry}) => entry.state === 'serving').length,
    missing: service.replicas - current.filter(isIntact).length,
    isBlocked: false,
  };
}

function compareUrgency(a: ServiceStanding, b: ServiceStanding): number {
  return (
    Number(isBelowMinimum(b)) - Number(isBelowMinimum(a)) ||
    resolveUrgency(b) - resolveUrgency(a) ||
    (a.service.name < b.service.name ? -1 : 1)
  );
}

function isBelowMinimum({service, serving}: ServiceStanding): boolean {
  return serving < Math.max(1, service.minServing) && service.replicas > 0;
}

/** Share of the stated replicas that do not serve, weighted by priority. */
function resolveUrgency({service, serving}: ServiceStanding): number {
  if (service.replicas === 0) return 0;
  const share = Math.max(0, 1 - serving / service.replicas);
  return share * (1 + Math.max(0, service.priority));
}
