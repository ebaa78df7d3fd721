import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {isAuditWritten} from '../audit/index.js';
import {startDrain} from './start_drain.js';

/** Longest wait, after the last response, for the outcomes of unrepeatable requests to be stored. */
const RECORD_LIMIT_MS = 5000;

/** The drain part of the reducer: starts a drain, and exits once the last request is answered. */
export function reduceDrain(step: Step, event: NodeEvent): void {
  const {drain} = step.state;
  if (event.type === 'drainRequested') startDrain(step);
  if (!drain.draining || drain.exited || !isDone(step)) return;
  drain.exited = true;
  step.effects.push({type: 'exit'});
}

function isDone(step: Step): boolean {
  const {state, nowMs} = step;
  const {drain, once, requests} = state;
  if (requests.byId.size > 0 || !isAuditWritten(step)) return false;
  drain.answeredAtMs ??= nowMs;
  if (once.claims.size === 0) return true;
  return nowMs - drain.answeredAtMs >= RECORD_LIMIT_MS;
}
