import type {Placement, RequestRecord, ServingStep} from './types.js';
import {refuseRequest} from './refuse_request.js';
import {retryAfterMs} from './retry_after_ms.js';
import {selectTarget} from './select_target.js';
import {sendAttempt} from './send_attempt.js';

/** Part of the goal that a request waits for a free slot before it joins a target's own queue. */
const OFFER_GOAL_SHARE = 0.25;

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
    } else if (nowMs >= record.holdUntilMs || isHopeless(record, placement)) {
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
  if (placement.hasRoom) return true;
  const offerAtMs =
    record.waitingSinceMs + OFFER_GOAL_SHARE * record.route.goalMs;
  return (
    placement.canQueue &&
    nowMs >= offerAtMs &&
    nowMs + placement.firstMs < record.giveUpAtMs
  );
}

/** A request that was tried everywhere can't be placed by waiting. */
function isHopeless(
  record: RequestRecord,
  placement: Placement | undefined,
): boolean {
  return !placement && record.tried.size > 0;
}
