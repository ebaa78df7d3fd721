import type {Step} from '../state/types.js';

const DRAIN_WAIT_MS = 3000;

/** Whether a draining node may end: its records are written, or it waited long enough. */
export function isAuditWritten(step: Step): boolean {
  const {audit, drain} = step.state;
  if (audit.waiting.length === 0) return true;
  return step.nowMs - drain.startedAtMs >= DRAIN_WAIT_MS;
}
