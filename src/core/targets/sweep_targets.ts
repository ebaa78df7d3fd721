import type {Step} from '../state/types.js';
import {TARGET_TIMING} from './target_timing.js';
import {updateSilence} from './update_silence.js';
import {updateTarget} from './update_target.js';

/**
 * Updates VMs and targets whose reports have expired since the last sweep. Runs
 * before every event, so that a node that was paused doesn't use the state from
 * before the pause.
 */
export function sweepTargets(step: Step): void {
  const {targets} = step.state;
  if (step.nowMs - targets.lastSweepAtMs < TARGET_TIMING.sweepIntervalMs)
    return;
  targets.lastSweepAtMs = step.nowMs;
  for (const [vmId, health] of targets.health) {
    updateSilence(step, vmId, health);
  }
  for (const targetId of targets.leaders.keys()) {
    updateTarget(step, targetId);
  }
}
