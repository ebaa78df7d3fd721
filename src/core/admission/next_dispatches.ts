import type {Dispatch} from './dispatch.js';
import type {Step} from '../state/types.js';
import {selectTarget} from '../routing/index.js';

/** Takes off the queues every request that a target can start now. */
export function nextDispatches(step: Step): Dispatch[] {
  const dispatches: Dispatch[] = [];
  for (const queue of step.state.admission.queues.values()) {
    for (;;) {
      const record = step.state.requests.byId.get(queue[0]!);
      const target = record && selectTarget(step, record);
      if (!record || !target) break;
      queue.shift();
      dispatches.push({record, target});
      return dispatches; // the caller accounts for the slot before the next choice
    }
  }
  return dispatches;
}
