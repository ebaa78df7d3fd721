import type {Placement, RequestRecord, ServingStep} from './types.js';
import {firstReturnMs} from './announcements/index.js';
import {refuseRequest} from './refuse_request.js';
import {retryAfterMs} from './retry_after_ms.js';
import {selectTarget} from './select_target.js';
import {sendAttempt} from './send_attempt.js';

/**
 * Part of a target's slots that requests may take which can't meet their goal
 * any more. The rest is kept for those that can: after a crest or an outage
 * the late ones would otherwise take every slot, and make all later ones late.
 */
const LATE_SLOT_SHARE = 0.8;
/**
 * Requests, over a target's slots, up to which those that can meet their goal
 * join its queue: the target sees a slot fall free at once, other nodes only
 * with the next digest.
 */
const ON_TIME_SLOT_SHARE = 1.2;
/** A caller that comes back takes longer than this, so that a request waits for targets that take requests sooner. */
const MAX_QUIET_WAIT_MS = 150;
/** Part of the time that a request is held after which it may take any free slot, late as it is. */
const QUEUE_SHARE = 0.6;

/** Sends what can go of the requests that wait for a pool, the most urgent first, and ends those that waited too long. */
export function dispatchWaiting(step: ServingStep, pool: string): void {
  const {state, nowMs} = step;
  const waiting = state.waiting.get(pool);
  if (!waiting || waiting.length === 0) return;
  waiting.sort((a, b) => compareUrgency(a, b, nowMs));
  for (const record of [...waiting]) {
    const placement = selectTarget(step, record);
    if (placement && mayGo(record, placement, nowMs)) {
      waiting.splice(waiting.indexOf(record), 1);
      sendAttempt(step, record, placement);
    } else if (
      nowMs >= record.holdUntilMs ||
      isHopeless(step, record, placement)
    ) {
      refuseRequest(step, record, {
        reason: placement ? 'overloaded' : 'no-target',
        retryAfterMs: retryAfterMs(step, record, placement),
      });
    }
  }
}

/** Requests of the better priority first; among these, those that can still meet their goal, by how little time they have. */
function compareUrgency(
  a: RequestRecord,
  b: RequestRecord,
  nowMs: number,
): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aLate = nowMs > a.goalAtMs ? 1 : 0;
  const bLate = nowMs > b.goalAtMs ? 1 : 0;
  return aLate - bLate || a.goalAtMs - b.goalAtMs;
}

function mayGo(
  record: RequestRecord,
  placement: Placement,
  nowMs: number,
): boolean {
  const {target, inFlight, firstMs, fits, hasRoom, canQueue} = placement;
  // A stream of which the caller has a part must go on at once.
  if (record.hasAnswer) return canQueue;
  if (nowMs + firstMs >= record.giveUpAtMs) return false;
  const isLate = nowMs + firstMs > record.goalAtMs;
  if (!isLate) return inFlight < ON_TIME_SLOT_SHARE * target.slotCount && fits;
  if (hasRoom && inFlight < LATE_SLOT_SHARE * target.slotCount) return true;
  const {waitingSinceMs, holdUntilMs} = record;
  const queueAtMs =
    waitingSinceMs + QUEUE_SHARE * (holdUntilMs - waitingSinceMs);
  return hasRoom && nowMs >= queueAtMs;
}

/** A request that was tried everywhere can't be placed by waiting, nor one whose targets all want none for some time. */
function isHopeless(
  {state, nowMs}: ServingStep,
  record: RequestRecord,
  placement: Placement | undefined,
): boolean {
  if (placement) return false;
  if (record.tried.size > 0) return true;
  const returnMs = firstReturnMs(state, record.pool, nowMs) ?? 0;
  return returnMs > MAX_QUIET_WAIT_MS;
}
