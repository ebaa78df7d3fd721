import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {estimateRunMs} from './estimate_run_ms.js';

/** Share of late requests that run anyway, so that a wrong estimate gets corrected. */
const PROBE_SHARE = 1 / 16;

/** Whether a request that starts now could not complete before its deadline. */
export function isTooLate(
  step: Step,
  {info, deliveredTokens}: RequestRecord,
): boolean {
  if (step.nowMs >= info.deadlineAtMs) return true;
  if (deliveredTokens > 0) return false;
  if (!step.state.admission.options.deadlineRefusal) return false;
  if (step.nowMs + estimateRunMs(step, info) <= info.deadlineAtMs) return false;
  return step.state.random.next() >= PROBE_SHARE;
}
