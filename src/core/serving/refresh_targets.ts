import type {ServingState} from './types.js';
import {buildTargets} from './build_targets.js';

/** Derives replicas and targets again if they are stale; call it before they are used. */
export function refreshTargets(state: ServingState): void {
  if (!state.areTargetsStale) return;
  state.areTargetsStale = false;
  buildTargets(state);
}
