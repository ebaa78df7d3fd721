import type {ServingState} from './types.js';
import {buildTargets} from './build_targets.js';

/** Brings replicas and targets up to date before they are used. */
export function refreshTargets(state: ServingState): void {
  if (!state.areTargetsStale) return;
  state.areTargetsStale = false;
  buildTargets(state);
}
