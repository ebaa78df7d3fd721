import type {ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from './log_decision.js';
import {targetLoad} from './target_load.js';

/** Passes a target over for a while; work goes there only when nothing else can take it. */
export function suspectTarget(
  step: ServingStep,
  vmId: VmId,
  forMs: number,
  cause: string,
): void {
  const load = targetLoad(step.state, vmId);
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
