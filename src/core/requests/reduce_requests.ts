import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {arriveRequest} from './arrive_request.js';
import {endAttempt} from './end_attempt.js';
import {expireRequests} from './expire_requests.js';
import {failAttempt} from './fail_attempt.js';
import {handleCallerGone} from './handle_caller_gone.js';
import {progressAttempt} from './progress_attempt.js';

/** Reduces the events of the request life cycle: arrival, attempts, retries and final answers. */
export function reduceRequests(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'requestArrived':
      return arriveRequest(step, event);
    case 'callerGone':
      return handleCallerGone(step, event);
    case 'attemptFirstToken':
    case 'attemptProgress':
      return progressAttempt(step, event);
    case 'attemptEnded':
      return endAttempt(step, event);
    case 'attemptFailed':
      return failAttempt(step, event);
    case 'tick':
      return expireRequests(step);
    default:
  }
}
