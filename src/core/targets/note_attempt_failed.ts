import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {notePollFailed} from './note_poll_failed.js';
import {updateTarget} from './update_target.js';

/** Updates the target of a failed attempt if the failure shows that the target is leaving or unreachable. */
export function noteAttemptFailed(
  step: Step,
  {attemptId, failure}: EventOf<'attemptFailed'>,
): void {
  const {requests, targets} = step.state;
  const targetId = requests.byAttempt.get(attemptId)?.attempt?.targetId;
  const leader = targetId && targets.leaders.get(targetId);
  if (!leader) return;
  if (failure.cause === 'target-leaving') {
    targets.toldLeavingAtMs.set(targetId, step.nowMs);
    updateTarget(step, targetId);
  } else if (failure.cause === 'connect-failed' || failure.cause === 'reset') {
    notePollFailed(step, leader, true);
  }
}
