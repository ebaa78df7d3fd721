import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from './log_decision.js';
import {resolveTargetLoad} from './resolve_target_load.js';

/** Marks a target as suspect for `forMs`; until then it receives requests only when no other target can take them. */
export function markTargetSuspect(
  step: ServingStep,
  vmId: VmId,
  forMs: number,
  cause: string,
): void {
  const load = resolveTargetLoad(step.state, vmId);
  const isNew = load.suspectUntilMs <= step.nowMs;
  load.suspectUntilMs = Math.max(load.suspectUntilMs, step.nowMs + forMs);
  if (!isNew) return;
  logDecision(step, 'info', 'routing', 'target suspected', {
    target: vmId,
    cause,
    forMs,
    inFlight: load.inFlight,
    progressAgeMs: Math.round(step.nowMs - load.progressAtMs),
  });
}
