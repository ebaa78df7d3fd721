import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {isAuditWritten} from '../audit/index.js';
import {startDrain} from './start_drain.js';

/** Drain's share of the reducer: no new requests, and an end when the last one is answered. */
export function reduceDrain(step: Step, event: NodeEvent): void {
  const {drain, requests} = step.state;
  if (event.type === 'drainRequested') startDrain(step);
  const isDone = requests.byId.size === 0 && isAuditWritten(step);
  if (drain.draining && !drain.exited && isDone) {
    drain.exited = true;
    step.effects.push({type: 'exit'});
  }
}
