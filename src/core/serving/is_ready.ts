import type {ServingState} from './types.js';
import {isEvacuationKnown} from './evacuation/index.js';
import {isAccessProven} from './is_access_proven.js';

/** Whether the node can serve callers: it is not shutting down, and has the engines, the evacuated zones and a proven configuration. */
export function isReady(state: ServingState, nowMs: number): boolean {
  return (
    state.leavingSinceMs === undefined &&
    state.isFleetKnown &&
    isEvacuationKnown(state) &&
    isAccessProven(state, nowMs)
  );
}
