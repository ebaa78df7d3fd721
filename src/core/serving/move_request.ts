import type {RequestRecord, ServingStep} from './types.js';
import {findCrashSuspect} from './find_crash_suspect.js';
import {placeRequest} from './place_request.js';
import {refuseRequest} from './refuse_request.js';
import {repeatBudget} from './repeat_budget.js';
import {retryAfterMs} from './retry_after_ms.js';

/** Sends of one request, those that targets turned away included. */
const MAX_SENDS = 4;
/** Least time that is worth another send. */
const MIN_LEFT_MS = 30;

/** Sends a request, whose attempt has ended without answer, elsewhere; or gives it up when that is not allowed. */
export function moveRequest(step: ServingStep, record: RequestRecord): void {
  if (mayMove(step, record)) {
    placeRequest(step, record);
    return;
  }
  refuseRequest(step, record, {
    reason: record.verdict === 'not-run' ? 'overloaded' : 'target-failed',
    retryAfterMs: retryAfterMs(step, record, undefined),
  });
}

function mayMove(step: ServingStep, record: RequestRecord): boolean {
  const {state, nowMs} = step;
  const {route, verdict, request} = record;
  if (record.giveUpAtMs - nowMs < MIN_LEFT_MS) return false;
  if (record.sendCount >= MAX_SENDS) return false;
  if (!repeatBudget.hasRoom(state, record.service, nowMs)) return false;
  if (verdict === 'not-run') return true;
  if (findCrashSuspect(state, request.fingerprint)) return false;
  const isRepeatable =
    route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
  if (!isRepeatable) return false;
  if (route.kind === 'safe' && record.hasAnswer) return false;
  return record.runCount < route.maxAttempts;
}
