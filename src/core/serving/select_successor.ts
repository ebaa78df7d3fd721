import type {Placement, RequestRecord, ServingStep} from './types.js';
import {selectTarget} from './select_target.js';

/** Selects a target that can take a request beside its silent run, before its deadline. */
export function selectSuccessor(
  step: ServingStep,
  record: RequestRecord,
): Placement | undefined {
  const placement = selectTarget(step, record);
  if (!placement || placement.isSuspect || !placement.canQueue) {
    return undefined;
  }
  const firstEventAtMs = step.nowMs + placement.firstEventMs;
  return firstEventAtMs > record.deadlineAtMs ? undefined : placement;
}
