import type {Step} from '../state/types.js';

/** Longest time from the start of a drain that its node waits for records to be written. */
const DRAIN_WAIT_MS = 3000;

/** Whether a draining node may exit: its records are written, or it has waited long enough. */
export function isAuditWritten(step: Step): boolean {
  const {audit, drain} = step.state;
  if (audit.waiting.length === 0) return true;
  return step.nowMs - drain.startedAtMs >= DRAIN_WAIT_MS;
}
