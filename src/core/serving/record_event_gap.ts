import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {expectedPassMs} from './expected_pass_ms.js';
import {logDecision} from './log_decision.js';
import {isSlow} from './is_slow.js';
import {resolveTargetLoad} from './resolve_target_load.js';

/** Weight of the newest gap in the average: about ten gaps, half a second of one stream, determine it. */
const MIN_SAMPLE_WEIGHT = 0.12;

/** Updates the ratio of a target's measured gaps between events to those that its published cost model predicts. */
export function recordEventGap(
  step: ServingStep,
  vmId: VmId,
  gapMs: number,
): void {
  const {state} = step;
  const target = state.targets.get(vmId);
  if (!target) return;
  const load = resolveTargetLoad(state, vmId);
  const inFlight = load.inFlight + (state.peerLoads.get(vmId)?.inFlight ?? 0);
  const ratio = gapMs / expectedPassMs(target, inFlight);
  const wasSlow = isSlow(load);
  load.gapCount += 1;
  const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (load.gapCount + 1));
  load.gapRatio += weight * (ratio - load.gapRatio);
  if (isSlow(load) === wasSlow) return;
  logDecision(
    step,
    'info',
    'routing',
    wasSlow ? 'target is no longer slow' : 'target is slow',
    {
      target: vmId,
      slowness: Number(load.gapRatio.toFixed(2)),
      pauses: load.gapCount,
      inFlight,
    },
  );
}
