import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** Drain's share of the reducer: no new requests, and an end when the last one is answered. */
export function reduceDrain(step: Step, event: NodeEvent): void {
  const {drain, requests} = step.state;
  if (event.type === 'drainRequested' && !drain.draining) {
    drain.draining = true;
    drain.startedAtMs = step.nowMs;
  }
  if (drain.draining && !drain.exited && requests.byId.size === 0) {
    drain.exited = true;
    step.effects.push({type: 'exit'});
  }
}
