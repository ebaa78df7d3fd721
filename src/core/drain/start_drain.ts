import type {Step} from '../state/types.js';

/** Starts draining this node: it accepts no new requests and exits after the last response. */
export function startDrain(step: Step): void {
  const {drain} = step.state;
  if (drain.draining) return;
  drain.draining = true;
  drain.startedAtMs = step.nowMs;
  step.effects.push({type: 'closeIdleConnections'});
}
