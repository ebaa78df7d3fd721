import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';

/** Marks a service for dispatch because one of its targets may have a free slot; no-op for an empty queue. */
export function markReady(step: Step, service: ServiceName): void {
  const {queues, ready} = step.state.admission;
  if ((queues.get(service)?.size ?? 0) > 0) ready.add(service);
}
