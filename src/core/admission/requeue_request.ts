import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Queues a request again after a failed or paused attempt, ahead of its class. */
export function requeueRequest(step: Step, record: RequestRecord): void {
  const {service, requestId} = record.info;
  const queue = step.state.admission.queues.get(service) ?? [];
  queue.unshift(requestId);
  step.state.admission.queues.set(service, queue);
}
