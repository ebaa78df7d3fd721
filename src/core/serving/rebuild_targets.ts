import type {ServingState} from './types.js';

/** Has replicas and targets derived anew when they are next used: nodes of a large fleet hear of many changes between two requests. */
export function rebuildTargets(state: ServingState): void {
  state.areTargetsStale = true;
}
