import type {PlanView} from './plan/types.js';
import type {Step} from '../state/types.js';
import {resolveStandings} from './plan/index.js';

/** Records since when each service has been short of intact replicas. */
export function recordShortages(step: Step, view: PlanView): void {
  const {lackingSinceMs} = step.state.replicas;
  const names = new Set(view.services.map(({name}) => name));
  for (const name of lackingSinceMs.keys()) {
    if (!names.has(name)) lackingSinceMs.delete(name);
  }
  for (const {service, missing} of resolveStandings(view)) {
    if (missing <= 0) lackingSinceMs.delete(service.name);
    else if (!lackingSinceMs.has(service.name)) {
      lackingSinceMs.set(service.name, step.nowMs);
    }
  }
}
