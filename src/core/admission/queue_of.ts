import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {ServiceQueue} from './service_queue.js';

/** Returns the queue of a service; creates it on first use. */
export function queueOf(step: Step, service: ServiceName): ServiceQueue {
  const {admission, config} = step.state;
  const known = admission.queues.get(service);
  if (known) return known;
  const queue = new ServiceQueue(
    organisation =>
      config.document.organisations.get(organisation)?.weight ?? 1,
  );
  admission.queues.set(service, queue);
  return queue;
}
