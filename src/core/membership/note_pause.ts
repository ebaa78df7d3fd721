import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {giveUpLease} from './give_up_lease.js';
import {logEvent} from '../state/index.js';

/**
 * Detects a pause of the process by a gap between events. The node gives up its
 * lease and all that was held under it before it handles the current event.
 */
export function notePause(step: Step): void {
  const {membership} = step.state;
  const gapMs = step.nowMs - membership.lastEventAtMs;
  const isPause =
    membership.lastEventAtMs > 0 && gapMs > MEMBERSHIP_TIMING.maxPauseMs;
  membership.lastEventAtMs = step.nowMs;
  if (!isPause) return;
  membership.authorityEpoch += 1;
  membership.calls.clear(); // their results date from before the pause
  giveUpLease(step);
  membership.hasView = false;
  membership.nextListAtMs = step.nowMs;
  membership.nextHeartbeatAtMs = step.nowMs;
  step.state.config.isCatchingUp = true;
  step.state.config.catchUpSinceMs = 0;
  // The peers were silent only because this process was paused.
  for (const peer of membership.peers.values()) {
    peer.lastSeenAtMs += gapMs;
    peer.lastAcknowledgedAtMs += gapMs;
  }
  logEvent(step, 'warn', 'membership', 'process was paused', {gapMs});
}
