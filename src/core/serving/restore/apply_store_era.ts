import type {ServingStep} from '../types.js';
import {REREGISTRATION_MS} from '../reregistration_ms.js';
import {endStewardship} from '../../steward/end_stewardship.js';
import {logDecision} from '../log_decision.js';
import {planDigests} from '../relays/plan_digests.js';

/**
 * Applies the store's era; a higher one shows that the store was restored from a
 * backup. The steward's lease and other recent writes are then void: a steward
 * stops at once, removals of engines are deferred, and a later steward plans only
 * after lost entries have been rewritten. `from` is the source, for the log.
 */
export function applyStoreEra(
  step: ServingStep,
  era: number,
  from: string,
): void {
  const {state, nowMs} = step;
  const {restore, steward} = state;
  const before = restore.era;
  if (before !== undefined && era <= before) return;
  restore.era = era;
  if (before === undefined) {
    const needsProof = state.bounds.accessProofMs !== undefined;
    if (era > 0 && !state.isFirstStart && needsProof) {
      restore.firstEraAtMs = nowMs;
    }
    // A node that has just started cannot determine how long ago the store was restored.
    if (era > 0 && steward.hasTraffic) {
      steward.planningPausedUntilMs = nowMs + REREGISTRATION_MS;
    }
    return;
  }
  restore.eraChangedAtMs = nowMs;
  restore.heldProofAtMs = -Infinity;
  restore.isRelistPending = true;
  state.deferRemovalsUntilMs = nowMs + REREGISTRATION_MS;
  steward.planningPausedUntilMs = nowMs + REREGISTRATION_MS;
  logDecision(step, 'warn', 'store', 'store came back from a copy', {
    era,
    before,
    from,
    fleetRevision: state.fleetRevision,
    configVersion: state.config?.version,
    wasSteward: steward.term !== undefined,
  });
  endStewardship(step);
  planDigests(step, true);
}
