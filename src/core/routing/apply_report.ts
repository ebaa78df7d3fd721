import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetLoad} from './target_load.js';
import {loadOf} from './load_of.js';
import {noteExcess} from '../credits/index.js';
import {refreshTarget} from './refresh_target.js';

/** How long a report may be on its way. */
const MAX_REPORT_AGE_MS = 5000;

/** Takes others' work from a report: all that it counts, less what was this node's own at its time. */
export function applyReport(step: Step, target: Target): void {
  const load = loadOf(step, target.targetId);
  const {loadCorrection} = step.state.admission.options;
  const own = loadCorrection ? ownAt(load, target.reportedAtMs) : load.own.size;
  const reported = target.running + target.queued;
  load.othersAtReport = Math.max(0, reported - own);
  forgetEnded(load, step.nowMs - MAX_REPORT_AGE_MS);
  noteExcess(step, target);
  refreshTarget(step, target.targetId);
}

/** Own attempts that were in flight at a time. */
function ownAt(load: TargetLoad, atMs: number): number {
  let count = 0;
  for (const startedAtMs of load.own.values()) {
    if (startedAtMs < atMs) count += 1;
  }
  for (const {startedAtMs, endedAtMs} of load.ended) {
    if (startedAtMs < atMs && endedAtMs >= atMs) count += 1;
  }
  return count;
}

function forgetEnded(load: TargetLoad, beforeMs: number): void {
  while (load.ended.length > 0 && load.ended[0]!.endedAtMs < beforeMs) {
    load.ended.shift();
  }
}
