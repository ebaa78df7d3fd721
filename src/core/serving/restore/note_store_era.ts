import type {ServingStep} from '../types.js';
import {RELIST_MS} from '../relist_ms.js';
import {endStewardship} from '../../steward/end_stewardship.js';
import {logDecision} from '../log_decision.js';
import {planDigests} from '../relays/plan_digests.js';

/**
 * Notes the store's era. After a return from a copy the lease of a steward, and
 * all else that was written last, is void: a steward stops at once, removals
 * of engines are held, and a later steward plans only when what was lost is there again.
 */
export function noteStoreEra(
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
    // A node that starts can't tell how long ago the store came back.
    if (era > 0 && steward.hasTraffic) {
      steward.pausedUntilMs = nowMs + RELIST_MS;
    }
    return;
  }
  restore.sinceMs = nowMs;
  restore.isRelistDue = true;
  state.holdRemovalsUntilMs = nowMs + RELIST_MS;
  steward.pausedUntilMs = nowMs + RELIST_MS;
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
