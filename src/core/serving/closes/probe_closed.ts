import type {AttemptRecord, ServingStep} from '../types.js';
import {hasBrokenBeside} from './has_broken_beside.js';
import {hasClosedBeside} from './has_closed_beside.js';
import {isPlannedEnd} from './is_planned_end.js';

/** A target at its limit of connections resets new ones for some time, which is no answer either way. */
const PROBE_INTERVAL_MS = 100;

/** Probes the target of a body that closed, unless a probe is on its way. Bodies that close together share one. A target that is leaving is only probed if its end is in doubt. */
export function probeClosed(
  {state, nowMs, effects}: ServingStep,
  attempt: AttemptRecord,
): void {
  const {vmId, address, closed} = attempt;
  if (!closed || closed.proof !== undefined || closed.isProbing) return;
  if (closed.isRefused || nowMs - closed.probedAtMs < PROBE_INTERVAL_MS) return;
  const isInDoubt =
    hasBrokenBeside(state, attempt) || hasClosedBeside(state, attempt);
  if (!isInDoubt && isPlannedEnd(state, attempt)) return;
  let isShared = false;
  for (const {attempt} of state.requestsByAttempt.values()) {
    const other = attempt?.vmId === vmId ? attempt.closed : undefined;
    if (other?.isProbing) isShared = true;
  }
  closed.isProbing = true;
  closed.probedAtMs = nowMs;
  if (!isShared) effects.push({type: 'probeEngine', vmId, address});
}
