import type {AttemptRecord, ServingStep} from '../types.js';
import {TOGETHER_MS} from './together_ms.js';

/** A target at its limit of connections resets new ones for some time, which is no answer either way. */
const PROBE_INTERVAL_MS = 100;
/** A target with other connections gets this time to make progress there, which saves the probe. */
const PROGRESS_MS = 2 * TOGETHER_MS;

/** Probes the target of a body that closed, unless a probe is on its way. Bodies that closed before share one. */
export function probeClosed(
  {state, nowMs, effects}: ServingStep,
  {vmId, address, closed}: AttemptRecord,
): void {
  if (!closed || closed.proof !== undefined || closed.isProbing) return;
  if (closed.isRefused || nowMs - closed.probedAtMs < PROBE_INTERVAL_MS) return;
  if (closed.openConnections === undefined) return;
  const isAlone = closed.openConnections === 0;
  if (!isAlone && nowMs - closed.atMs < PROGRESS_MS) return;
  closed.isProbing = true;
  for (const {attempt} of state.requestsByAttempt.values()) {
    const other = attempt?.vmId === vmId ? attempt.closed : undefined;
    if (!other || other === closed || !other.isProbing) continue;
    closed.probedAtMs = other.probedAtMs;
    return;
  }
  closed.probedAtMs = nowMs;
  effects.push({type: 'probeEngine', vmId, address, isForClose: true});
}
