import type {MembershipCall} from './membership_call.js';
import type {NodeState} from '../state/types.js';

/** Whether a call for one of the purposes is in flight. */
export function isCallInFlight(
  state: NodeState,
  ...purposes: readonly MembershipCall['purpose'][]
): boolean {
  for (const call of state.membership.calls.values()) {
    if (purposes.includes(call.purpose)) return true;
  }
  return false;
}
