import type {ServingState} from './types.js';
import {isAccessProven} from './is_access_proven.js';

/** Whether callers should be sent to this node. */
export function isReady(state: ServingState, nowMs: number): boolean {
  return (
    state.leavingSinceMs === undefined &&
    state.isFleetKnown &&
    isAccessProven(state, nowMs)
  );
}
