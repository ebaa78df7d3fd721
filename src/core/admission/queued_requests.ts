import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';

/** Number of requests that are queued for a service. */
export function queuedRequests(step: Step, service: ServiceName): number {
  return step.state.admission.queues.get(service)?.size ?? 0;
}
