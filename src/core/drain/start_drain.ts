import type {Step} from '../state/types.js';

/** Makes this node leave: it takes no new requests and ends after the last answer. */
export function startDrain(step: Step): void {
  const {drain} = step.state;
  if (drain.draining) return;
  drain.draining = true;
  drain.startedAtMs = step.nowMs;
  step.effects.push({type: 'closeIdleConnections'});
}
