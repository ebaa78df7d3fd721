import type {RequestRecord, ServingStep} from './types.js';
import type {RetryDenial} from './retries/types.js';
import {isCrashSuspect} from './crashes/index.js';
import {retryBudget} from './retries/index.js';

/** Limit on the dispatches of one request, including those that a target refused without running it. */
const MAX_DISPATCHES = 4;
/** Remaining time below which a retry is pointless. */
const MIN_REMAINING_MS = 30;

/** Returns why a request must not be retried; undefined if it may be. */
export function findRetryDenial(
  step: ServingStep,
  record: RequestRecord,
): RetryDenial | undefined {
  const {state, nowMs} = step;
  const {route, verdict, request} = record;
  if (record.deadlineAtMs - nowMs < MIN_REMAINING_MS) return 'deadline';
  if (record.dispatchCount >= MAX_DISPATCHES) return 'dispatches';
  const isRetry = record.arrivalCount > 0;
  if (isRetry && !retryBudget.hasRoom(state, record.service, nowMs)) {
    return 'budget';
  }
  if (verdict === 'not-run') return undefined;
  if (isCrashSuspect(state, request)) return 'crash-suspect';
  const isRetryable =
    route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
  if (!isRetryable) return 'may-have-run';
  if (route.kind === 'safe' && record.hasPartialResponse) {
    return 'may-have-run';
  }
  return record.possibleRunCount < route.maxAttempts ? undefined : 'attempts';
}
