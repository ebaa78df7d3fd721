import type {Step} from '../state/types.js';
import {TARGET_TIMING} from './target_timing.js';
import {noteSilence} from './note_silence.js';
import {updateTarget} from './update_target.js';

/** Sweeps at once after a gap between events: a paused node trusts none of what it knew. */
export function sweepTargets(step: Step): void {
  const {targets} = step.state;
  const gapMs = step.nowMs - targets.lastEventAtMs;
  targets.lastEventAtMs = step.nowMs;
  const isDue = step.nowMs - targets.sweptAtMs >= TARGET_TIMING.sweepIntervalMs;
  if (gapMs >= TARGET_TIMING.gapMs || isDue) sweep(step);
}

/** Finds reports that have grown old since the last sweep. */
function sweep(step: Step): void {
  const {targets} = step.state;
  targets.sweptAtMs = step.nowMs;
  for (const [vmId, health] of targets.health) {
    noteSilence(step, vmId, health);
  }
  for (const targetId of targets.leaders.keys()) {
    updateTarget(step, targetId);
  }
}
