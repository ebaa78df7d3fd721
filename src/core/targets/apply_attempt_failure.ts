import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {applyPollFailure} from './apply_poll_failure.js';
import {updateTarget} from './update_target.js';

/** Updates the target of a failed attempt if the failure shows that the target is leaving or unreachable. */
export function applyAttemptFailure(
  step: Step,
  {attemptId, failure}: EventOf<'attemptFailed'>,
): void {
  const {requests, targets} = step.state;
  const targetId = requests.byAttempt.get(attemptId)?.attempt?.targetId;
  const leader = targetId && targets.leaders.get(targetId);
  if (!leader) return;
  if (failure.cause === 'target-leaving') {
    targets.leavingAnnouncedAtMs.set(targetId, step.nowMs);
    updateTarget(step, targetId);
  } else if (failure.cause === 'connect-failed' || failure.cause === 'reset') {
    applyPollFailure(step, leader, true);
  }
}
