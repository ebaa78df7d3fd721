import type {VmId} from '../ids/index.js';
import type {Placement, RequestRecord, ServingStep} from './types.js';
import {resolvePoolBackoffMs} from './announcements/index.js';
import {isPoolEvacuated} from './evacuation/index.js';
import {resolveColdWait} from './coldness/index.js';
import {fairQueue} from './fair_queue/index.js';
import {forwardRequest} from './forwarding/index.js';
import {count} from './count.js';
import {findRetryDenial} from './find_retry_denial.js';
import {isPathDown} from './reachability/index.js';
import {findCrashSuspect} from './crashes/index.js';
import {canWaitForLimit, resolvePoolRatePerS} from './rate_limits/index.js';
import {isPaceLimited} from './pace/index.js';
import {readmitTargets} from './readmit_targets.js';
import {refuseRequest} from './refuse_request.js';
import {retryAfterMs} from './retry_after_ms.js';
import {selectTarget} from './select_target.js';
import {sendAttempt} from './send_attempt.js';
import {isAwaitingSign} from './silence/index.js';

/**
 * Share of a target's slots that requests past their latency goal may occupy.
 * The rest is reserved for requests that can still meet it: after a load peak or
 * an outage the late ones would otherwise take every slot and make all later
 * requests late too.
 */
const LATE_SLOT_SHARE = 0.8;
/**
 * Limit on a target's requests, as a multiple of its slots, up to which requests
 * that can meet their goal are sent to the target's own queue. The target uses a
 * freed slot at once; nodes learn of it only from the next digest.
 */
const ON_TIME_SLOT_SHARE = 1.2;
/** A request waits for targets that accept requests again within this time: a retry by its caller would take longer. */
const MAX_BACKOFF_WAIT_MS = 150;
/** Share of its maximum wait after which a late request may take any free slot. */
const LATE_DISPATCH_WAIT_SHARE = 0.6;

/** Dispatches the requests that wait for a pool, the most urgent first, and refuses those that have waited too long. */
export function dispatchWaiting(step: ServingStep, pool: string): void {
  const {state, nowMs} = step;
  const waiting = state.waitingByPool.get(pool);
  if (!waiting || waiting.length === 0) return;
  fairQueue.order(step, pool, waiting);
  const reservedTargets = new Set<VmId>();
  let hasTarget = false;
  // Slots that are kept from late urgent requests are not for less urgent ones that are on time.
  let blockedPriority = Infinity;
  for (const record of [...waiting]) {
    const suspicion = findCrashSuspect(state, record.request, nowMs);
    if (suspicion) {
      refuseRequest(step, record, {
        reason: 'crash-suspect',
        retryAfterMs: suspicion.retryAfterMs,
      });
      continue;
    }
    if (isPathDown(state, record.service)) {
      if (forwardRequest(step, record)) {
        waiting.splice(waiting.indexOf(record), 1);
        continue;
      }
      if (record.request.forwarded) {
        refuseRequest(step, record, {reason: 'unreachable'});
        continue;
      }
    }
    if (record.hasPartialResponse) readmitTargets(step, record);
    const placement = selectTarget(step, record);
    hasTarget ||= placement !== undefined;
    const ratePerS = placement
      ? undefined
      : resolvePoolRatePerS(state, record, nowMs);
    if (
      placement &&
      record.priority <= blockedPriority &&
      !isReservedFor(record, placement, reservedTargets) &&
      canDispatch(step, record, placement) &&
      isRetryAllowed(step, record)
    ) {
      waiting.splice(waiting.indexOf(record), 1);
      sendAttempt(step, record, placement);
    } else if (
      nowMs >= record.waitDeadlineAtMs ||
      (ratePerS === undefined
        ? isWaitUseless(step, record, placement, waiting.indexOf(record))
        : !canWaitForLimit(step, record, ratePerS, waiting.indexOf(record)))
    ) {
      const isOverloaded =
        placement !== undefined ||
        ratePerS !== undefined ||
        isAwaitingSign(state, record) ||
        resolveColdWait(state, record, 0, nowMs) !== undefined ||
        isPaceLimited(state, record);
      refuseRequest(step, record, {
        reason: isPoolEvacuated(state, pool)
          ? 'evacuated'
          : isOverloaded
            ? 'overloaded'
            : 'no-target',
        retryAfterMs: retryAfterMs(step, record, placement),
      });
    } else if (placement && fairQueue.isActive(state, pool)) {
      blockedPriority = Math.min(blockedPriority, record.priority);
      if (waitsForPrompts(placement)) {
        reservedTargets.add(placement.target.vmId);
      }
    }
  }
  if (hasTarget) refuseExcess(step, pool, waiting);
}

/** Refuses waiting requests at once where the queue is longer than what the pool serves in time. */
function refuseExcess(
  step: ServingStep,
  pool: string,
  waiting: readonly RequestRecord[],
): void {
  for (const record of fairQueue.selectRejected(step, pool, waiting)) {
    count(step, 'shedRequests', 1, {
      service: record.service,
      priority: String(record.priority),
    });
    refuseRequest(step, record, {
      reason: 'overloaded',
      retryAfterMs: retryAfterMs(step, record, undefined),
    });
  }
}

/** Whether a request waits for prompt capacity alone. Those behind it leave the target to it: smaller prompts would take what becomes free, and a large one would wait until they end. */
function waitsForPrompts({
  target,
  inFlight,
  hasPromptCapacity,
}: Placement): boolean {
  return !hasPromptCapacity && inFlight < target.slotCount;
}

function isReservedFor(
  {hasPartialResponse}: RequestRecord,
  {target}: Placement,
  reservedTargets: ReadonlySet<VmId>,
): boolean {
  return !hasPartialResponse && reservedTargets.has(target.vmId);
}

function canDispatch(
  step: ServingStep,
  record: RequestRecord,
  placement: Placement,
): boolean {
  const {nowMs} = step;
  const {target, inFlight, firstEventMs, hasPromptCapacity, hasRoom, canQueue} =
    placement;
  // The caller already has part of this stream, so it must resume at once.
  if (record.hasPartialResponse) return canQueue;
  if (nowMs + firstEventMs >= record.deadlineAtMs) return false;
  const isLate = nowMs + firstEventMs > record.goalAtMs;
  if (!isLate) {
    const slotShare = fairQueue.canUseTargetQueue(step, record)
      ? ON_TIME_SLOT_SHARE
      : 1;
    return inFlight < slotShare * target.slotCount && hasPromptCapacity;
  }
  if (hasRoom && inFlight < LATE_SLOT_SHARE * target.slotCount) return true;
  const {waitingSinceMs, waitDeadlineAtMs} = record;
  const lateDispatchAtMs =
    waitingSinceMs +
    LATE_DISPATCH_WAIT_SHARE * (waitDeadlineAtMs - waitingSinceMs);
  return hasRoom && nowMs >= lateDispatchAtMs;
}

/** A stream that has waited since its retry was allowed is checked again, so that those that wait don't exceed the budget together. */
function isRetryAllowed(step: ServingStep, record: RequestRecord): boolean {
  if (!record.hasPartialResponse) return true;
  if (step.nowMs === record.waitingSinceMs) return true;
  return findRetryDenial(step, record) === undefined;
}

/** Whether waiting is useless: every target was tried, all targets refuse requests for longer than a retry takes, or all are in evacuated zones. */
function isWaitUseless(
  {state, nowMs}: ServingStep,
  record: RequestRecord,
  placement: Placement | undefined,
  ahead: number,
): boolean {
  if (placement || isAwaitingSign(state, record)) return false;
  if (record.hasPartialResponse) {
    // The caller would lose what it has. Targets that were full may take the rest.
    const targets = state.targetsByPool.get(record.pool) ?? [];
    return targets.every(
      ({vmId}) =>
        record.triedTargets.has(vmId) && !record.refusedAtMs.has(vmId),
    );
  }
  const coldWait = resolveColdWait(state, record, ahead, nowMs);
  if (coldWait) return !coldWait.canWait;
  if (isPaceLimited(state, record)) return false;
  if (record.triedTargets.size > 0) return true;
  if (isPoolEvacuated(state, record.pool)) return true;
  const backoffMs = resolvePoolBackoffMs(state, record.pool, nowMs) ?? 0;
  return backoffMs > MAX_BACKOFF_WAIT_MS;
}
