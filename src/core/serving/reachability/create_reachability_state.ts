import type {ReachabilityState} from './types.js';

/** Creates the state of a node that has contacted no engine yet. */
export function createReachabilityState(): ReachabilityState {
  return {paths: new Map(), suspectedEnds: new Map()};
}
