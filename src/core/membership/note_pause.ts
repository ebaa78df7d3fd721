import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {giveUpLease} from './give_up_lease.js';
import {logEvent} from '../state/index.js';

/**
 * Sees from a gap between events that the process was paused. It gives up its
 * lease and all that was held under it before it handles the event at hand.
 */
export function notePause(step: Step): void {
  const {membership} = step.state;
  const gapMs = step.nowMs - membership.lastEventAtMs;
  const isPause =
    membership.lastEventAtMs > 0 && gapMs > MEMBERSHIP_TIMING.maxPauseMs;
  membership.lastEventAtMs = step.nowMs;
  if (!isPause) return;
  membership.authorityEpoch += 1;
  membership.calls.clear(); // their results are of the time before
  giveUpLease(step);
  membership.hasView = false;
  membership.nextListAtMs = step.nowMs;
  membership.nextHeartbeatAtMs = step.nowMs;
  step.state.config.isCatchingUp = true;
  step.state.config.catchUpSinceMs = 0;
  // The silence was this node's own.
  for (const peer of membership.peers.values()) {
    peer.heardAtMs += gapMs;
    peer.heardUsAtMs += gapMs;
  }
  logEvent(step, 'warn', 'membership', 'process was paused', {gapMs});
}
