import type {RefusalReason} from './effects.js';
import type {RequestRecord, ServingStep} from './types.js';
import type {RetryDenial} from './retries/types.js';
import {count} from './count.js';
import {findRunTarget} from './hedges/index.js';
import {removeRequest} from './remove_request.js';
import {countSilent} from './silence/index.js';
import {logDecision} from './log_decision.js';

interface RefusalOptions {
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
  /** Why a failed attempt is not followed by another one; for the log. */
  readonly retryDenial?: RetryDenial;
}

/**
 * Ends a request without a complete response: with an error status that shows
 * whether it may have run, or, if the caller has received part of a response, by
 * closing the connection.
 */
export function refuseRequest(
  step: ServingStep,
  record: RequestRecord,
  options: RefusalOptions,
): void {
  const {request, verdict} = record;
  const {reason, retryAfterMs, retryDenial} = options;
  const mayHaveRun = verdict !== 'not-run';
  logDecision(step, 'info', 'requests', 'request given up', {
    requestId: request.requestId,
    callerId: request.callerId,
    route: record.route.name,
    reason,
    verdict,
    retryAfterMs,
    retryDenial,
    ageMs: Math.round(step.nowMs - request.arrivedAtMs),
    sends: record.dispatchCount,
    target: record.attempt?.vmId,
    silent: findRunTarget(record.silentRun),
    partialAnswer: record.hasPartialResponse,
    silentTargets: countSilent(step.state, record.pool) || undefined,
    configVersion: step.state.config?.version,
  });
  count(step, 'requests', 1, {service: record.service, verdict});
  if (reason === 'evacuated') {
    count(step, 'evacuatedRefusals', 1, {service: record.service});
  }
  if (record.hasPartialResponse) {
    step.effects.push({type: 'cutAnswer', requestId: request.requestId});
  } else {
    step.effects.push({
      type: 'refuse',
      requestId: request.requestId,
      status: mayHaveRun ? (reason === 'timeout' ? 504 : 502) : 503,
      reason,
      ...(mayHaveRun || retryAfterMs === undefined ? {} : {retryAfterMs}),
    });
  }
  removeRequest(step, record);
}
