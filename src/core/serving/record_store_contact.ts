import type {ServingStep} from './types.js';
import {REREGISTRATION_MS} from './reregistration_ms.js';
import {logDecision} from './log_decision.js';

/** Share of the lifetime of an engine's entry without heartbeat: after an absence from the store this long, entries may have expired. */
const EXPIRY_RISK_SHARE = 0.6;

/**
 * Records that the engines match the store's list at `provenAtMs`. If the last
 * such time is long ago, removals are deferred for a while: entries expire while
 * engines can't reach the store.
 */
export function recordStoreContact(
  step: ServingStep,
  provenAtMs: number,
): void {
  const {state, nowMs} = step;
  const absentMs = provenAtMs - state.fleetProvenAtMs;
  if (absentMs <= 0) return;
  const expiryRiskMs = EXPIRY_RISK_SHARE * state.bounds.listingMs;
  if (Number.isFinite(absentMs) && absentMs > expiryRiskMs) {
    state.deferRemovalsUntilMs = nowMs + REREGISTRATION_MS;
    logDecision(step, 'info', 'fleet', 'removals held after an absence', {
      absentMs: Math.round(absentMs),
      engines: state.engines.size,
    });
  }
  state.fleetProvenAtMs = provenAtMs;
}
