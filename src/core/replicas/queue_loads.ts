import type {PlanView} from './plan/types.js';
import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {resolveStandings} from './plan/index.js';

/** Queues the planned replicas of all domains for loading, the most urgent services first. */
export function queueLoads(step: Step, view: PlanView): void {
  const {replicas} = step.state;
  const sinceMs = new Map(
    replicas.loadQueue.map(one => [one.replicaId, one.sinceMs]),
  );
  const rank = new Map(
    resolveStandings(view).map(({service}, index) => [service.name, index]),
  );
  const rankOf = (service: ServiceName) => rank.get(service) ?? Infinity;
  replicas.loadQueue = view.replicas
    .map(({entry}) => entry)
    .filter(entry => entry.state === 'planned')
    .sort(
      (a, b) =>
        rankOf(a.service) - rankOf(b.service) ||
        (a.replicaId < b.replicaId ? -1 : 1),
    )
    .map(({replicaId}) => ({
      replicaId,
      sinceMs: sinceMs.get(replicaId) ?? step.nowMs,
    }));
}
