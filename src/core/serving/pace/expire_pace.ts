import type {ServingStep} from '../types.js';
import {count} from '../count.js';
import {logDecision} from '../log_decision.js';
import {noteTarget} from './note_target.js';

/** How long the end of a recovery is reported; digests have reached all nodes by then. */
const END_REPORT_MS = 5000;

/** Notes which targets are open, and removes what is known of targets that are gone or have recovered. */
export function expirePace(step: ServingStep): void {
  const {state, nowMs} = step;
  const {pace, targets, engines} = state;
  if (!pace.seen) {
    if (!state.isFleetKnown || !state.config || state.areTargetsStale) return;
    // The targets of the first list may have served for long.
    pace.seen = new Map(
      [...targets.values()].map(({vmId, engine}) => [vmId, engine.bornAtMs]),
    );
  }
  if (!state.areTargetsStale) {
    for (const vmId of pace.seen.keys()) {
      if (!targets.has(vmId)) pace.seen.delete(vmId);
    }
    for (const target of targets.values()) {
      const before = pace.records.get(target.vmId);
      noteTarget(state, target, nowMs);
      const after = pace.records.get(target.vmId);
      if (after === before || !after) continue;
      count(step, 'recoveries', 1, {service: target.engine.service});
      logDecision(step, 'info', 'routing', 'target starts slowly', {
        vmId: target.vmId,
        bornAtMs: after.bornAtMs,
        window: after.window,
      });
    }
  }
  for (const [vmId, {bornAtMs, hasRecovered, evidenceAtMs}] of pace.records) {
    const isGone = engines.get(vmId)?.bornAtMs !== bornAtMs;
    const isOver = hasRecovered && nowMs - evidenceAtMs > END_REPORT_MS;
    if (!isGone && !isOver) continue;
    pace.records.delete(vmId);
    pace.ranks.delete(vmId);
  }
}
