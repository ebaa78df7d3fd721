import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {cancelAttempt} from './cancel_attempt.js';
import {forgetRequest} from './forget_request.js';
import {noteOnceOver} from '../once/index.js';

/** Cancels the request of a caller that disconnected, unless its outcome must be recorded. */
export function leaveCaller(
  step: Step,
  {requestId}: EventOf<'callerGone'>,
): void {
  const record = step.state.requests.byId.get(requestId);
  if (!record || record.detached) return;
  if (record.info.unrepeatable && record.phase === 'running') {
    record.detached = true;
    return;
  }
  cancelAttempt(step, record);
  if (record.info.unrepeatable) noteOnceOver(step, record);
  forgetRequest(step, record);
}
