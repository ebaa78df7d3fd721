import type {Step} from '../state/types.js';
import {giveUpLease} from './give_up_lease.js';

/** Revokes the lease once a leaving node has answered its last request. */
export function releaseLease(step: Step): void {
  const {membership, requests} = step.state;
  if (!membership.isLeaving || membership.isReleased) return;
  if (requests.byId.size > 0) return;
  membership.isReleased = true;
  membership.calls.clear();
  giveUpLease(step);
}
