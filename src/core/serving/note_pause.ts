import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {expectedPassMs} from './expected_pass_ms.js';
import {logDecision} from './log_decision.js';
import {isSlow} from './is_slow.js';
import {targetLoad} from './target_load.js';

/** Weight of the newest pause: some ten pauses, half a second of one stream, decide. */
const NEW_WEIGHT = 0.12;

/** Learns how a target's speed compares with its published costs, from the pauses between events. */
export function notePause(
  step: ServingStep,
  vmId: VmId,
  pauseMs: number,
): void {
  const {state} = step;
  const target = state.targets.get(vmId);
  if (!target) return;
  const load = targetLoad(state, vmId);
  const inFlight = load.inFlight + (state.peerLoads.get(vmId)?.inFlight ?? 0);
  const ratio = pauseMs / expectedPassMs(target, inFlight);
  const wasSlow = isSlow(load);
  load.pauseCount += 1;
  const weight = Math.max(NEW_WEIGHT, 1 / (load.pauseCount + 1));
  load.slowness += weight * (ratio - load.slowness);
  if (isSlow(load) === wasSlow) return;
  logDecision(
    step,
    'info',
    'routing',
    wasSlow ? 'target is fast again' : 'target is slow',
    {
      target: vmId,
      slowness: Number(load.slowness.toFixed(2)),
      pauses: load.pauseCount,
      inFlight,
    },
  );
}
