import type {ServingStep} from '../types.js';
import type {NodeId} from '../../ids/index.js';
import type {LeavingReport} from './types.js';
import {LEAVING_REPORT_TTL_MS} from './leaving_report_ttl_ms.js';
import {logDecision} from '../log_decision.js';
import {markTargetsStale} from '../mark_targets_stale.js';

/** Applies a peer's reports of leaving engines. `from` is the reporting node, for the log. */
export function applyLeavingReports(
  step: ServingStep,
  from: NodeId,
  reports: readonly LeavingReport[],
): void {
  const {state, nowMs} = step;
  const {leaving} = state.announcements;
  for (const {vmId, bornAtMs, ageMs} of reports) {
    if (state.engines.get(vmId)?.bornAtMs !== bornAtMs) continue;
    // Peers forward each other's reports: only the first one sets the time, or the entry would never expire.
    if (ageMs >= LEAVING_REPORT_TTL_MS) continue;
    if (leaving.get(vmId)?.bornAtMs === bornAtMs) continue;
    leaving.set(vmId, {bornAtMs, atMs: nowMs - ageMs, isFirstHand: false});
    markTargetsStale(state);
    logDecision(step, 'info', 'fleet', 'engine leaves, by a peer', {
      vmId,
      bornAtMs,
      peer: from,
      ageMs,
    });
  }
}
