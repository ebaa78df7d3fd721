import type {RequestRecord, ServingStep} from '../types.js';
import {countCurrentNodes} from './count_current_nodes.js';

const MS_PER_S = 1000;
/** A caller that has part of a stream leaves after a pause of two seconds; the target needs the rest for its first event. */
const MAX_STREAM_PAUSE_MS = 1000;

/**
 * Whether a request may wait for targets that all limit their requests.
 *
 * The requests that the targets take until it would be refused are shared by
 * all nodes. Where a node's share is below one, that fraction of its requests
 * waits, so that small shares are used too; the others are refused at once.
 */
export function canWaitForLimit(
  {state, nowMs}: ServingStep,
  record: RequestRecord,
  ratePerS: number,
  ahead: number,
): boolean {
  const {waitingSinceMs, waitDeadlineAtMs, hasPartialResponse} = record;
  const waitMs = Math.min(
    waitDeadlineAtMs - waitingSinceMs,
    hasPartialResponse ? MAX_STREAM_PAUSE_MS : Infinity,
  );
  if (nowMs >= waitingSinceMs + waitMs) return false;
  const fleetCount = (ratePerS * waitMs) / MS_PER_S;
  const nodeShare = fleetCount / countCurrentNodes(state, nowMs);
  record.waitDraw ??= state.random.next();
  return ahead + record.waitDraw < nodeShare;
}
