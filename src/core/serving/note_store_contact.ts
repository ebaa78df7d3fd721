import type {ServingStep} from './types.js';
import {RELIST_MS} from './relist_ms.js';
import {logDecision} from './log_decision.js';

/** Part of the time that an engine stays listed without a sign of life: after an absence this long, its entry may have lapsed. */
const LAPSE_SHARE = 0.6;

/**
 * Notes that the engines are known as the store lists them at `provenAtMs`,
 * and holds removals for a while when the last such time is long ago: entries
 * lapse while engines can't reach the store.
 */
export function noteStoreContact(step: ServingStep, provenAtMs: number): void {
  const {state, nowMs} = step;
  const absentMs = provenAtMs - state.fleetKnownAtMs;
  if (absentMs <= 0) return;
  const lapseMs = LAPSE_SHARE * state.bounds.listingMs;
  if (Number.isFinite(absentMs) && absentMs > lapseMs) {
    state.holdRemovalsUntilMs = nowMs + RELIST_MS;
    logDecision(step, 'info', 'fleet', 'removals held after an absence', {
      absentMs: Math.round(absentMs),
      engines: state.engines.size,
    });
  }
  state.fleetKnownAtMs = provenAtMs;
}
