import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetLoad} from './target_load.js';
import {loadOf} from './load_of.js';
import {noteExcess} from '../credits/index.js';
import {refreshTarget} from './refresh_target.js';

/** Maximum delivery delay of a report. */
const MAX_REPORT_AGE_MS = 5000;

/**
 * Derives the load of other nodes from a report: everything that it counts,
 * minus this node's attempts that were in flight when the report was made.
 */
export function applyReport(step: Step, target: Target): void {
  const load = loadOf(step, target.targetId);
  const {loadCorrection} = step.state.admission.options;
  const own = loadCorrection
    ? countOwnAt(load, target.reportedAtMs)
    : load.own.size;
  const reported = target.running + target.queued;
  load.reportedOtherLoad = Math.max(0, reported - own);
  dropEnded(load, step.nowMs - MAX_REPORT_AGE_MS);
  noteExcess(step, target);
  refreshTarget(step, target.targetId);
}

/** Number of this node's attempts that were in flight at `atMs`. */
function countOwnAt(load: TargetLoad, atMs: number): number {
  let count = 0;
  for (const startedAtMs of load.own.values()) {
    if (startedAtMs < atMs) count += 1;
  }
  for (const {startedAtMs, endedAtMs} of load.ended) {
    if (startedAtMs < atMs && endedAtMs >= atMs) count += 1;
  }
  return count;
}

function dropEnded(load: TargetLoad, beforeMs: number): void {
  while (load.ended.length > 0 && load.ended[0]!.endedAtMs < beforeMs) {
    load.ended.shift();
  }
}
