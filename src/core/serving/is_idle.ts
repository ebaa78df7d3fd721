import type {ServingState} from './types.js';
import {isPathInDoubt} from './reachability/index.js';

/** Whether a node of a large fleet has no work in progress, so that its timer may run less often. */
export function isIdle(state: ServingState): boolean {
  const {requests, steward, exchange, isFleetKnown, config, leavingSinceMs} =
    state;
  return (
    !isPathInDoubt(state) &&
    exchange.isRelayed &&
    exchange.relayRank < 0 &&
    requests.size === 0 &&
    steward.term === undefined &&
    leavingSinceMs === undefined &&
    isFleetKnown &&
    config !== undefined
  );
}
