import type {RequestRecord} from '../requests/types.js';
import type {Refusal} from '../errors/index.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';

/** Queues a new request, or says at once why it cannot be answered in time. */
export function enqueueRequest(
  step: Step,
  record: RequestRecord,
): Refusal | undefined {
  const {service} = record.info;
  const queue = step.state.admission.queues.get(service) ?? [];
  const limit = step.state.config.document.services.get(service)?.maxQueue ?? 0;
  if (queue.length >= limit) {
    return createRefusal('QueueFull', 'not-run', {
      params: {service},
      retryAfterMs: 1000,
    });
  }
  queue.push(record.info.requestId);
  step.state.admission.queues.set(service, queue);
  return undefined;
}
