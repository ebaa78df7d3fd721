import type {ServingState} from '../types.js';

/** Time limit after the start for reading the registry of nodes, which shows whether there are relays. */
const REGISTRY_WAIT_MS = 2500;
/** Time limit after the start for finding a relay and receiving its data. */
const RELAY_WAIT_MS = 4500;

/** Whether this node started so recently that it may still receive from a relay what it would otherwise read from the store. */
export function isAwaitingPeers(
  {startedAtMs, exchange}: ServingState,
  nowMs: number,
): boolean {
  const ageMs = nowMs - (startedAtMs ?? nowMs);
  if (!exchange.hasReadRegistry) return ageMs < REGISTRY_WAIT_MS;
  return exchange.isRelayed && exchange.relayRank < 0 && ageMs < RELAY_WAIT_MS;
}
