import type {AttemptRecord, ServingStep} from '../types.js';
import {listAttempts} from '../hedges/index.js';

/** The kernel may close a process's listener behind its connections; until then it accepts new ones. */
const MIN_CLOSE_AGE_MS = 20;
/** A target at its limit of connections resets new ones for some time, which is no answer either way. */
const PROBE_INTERVAL_MS = 100;

/** Probes the target of a body that closed. Bodies that closed before a probe share its result. */
export function probeClosed(
  {state, nowMs, effects}: ServingStep,
  {vmId, address, closed}: AttemptRecord,
): void {
  if (!closed || closed.proof !== undefined || closed.isRefused) return;
  if (nowMs - closed.atMs < MIN_CLOSE_AGE_MS) return;
  for (const [, attempt] of listAttempts(state)) {
    if (attempt.vmId !== vmId || !attempt.closed) continue;
    const {probedAtMs} = attempt.closed;
    if (probedAtMs > closed.atMs) {
      closed.probedAtMs = Math.max(closed.probedAtMs, probedAtMs);
    }
  }
  if (nowMs - closed.probedAtMs < PROBE_INTERVAL_MS) return;
  closed.probedAtMs = nowMs;
  effects.push({type: 'probeEngine', vmId, address, isForClose: true});
}
