import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';

/** Says that a target of the service may have a free slot, so that its queue is looked at again. */
export function markReady(step: Step, service: ServiceName): void {
  const {queues, ready} = step.state.admission;
  if ((queues.get(service)?.size ?? 0) > 0) ready.add(service);
}
