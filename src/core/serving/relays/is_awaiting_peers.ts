import type {ServingState} from '../types.js';

/** Time in which the registry of nodes is read, and says whether there are relays. */
const LIST_MS = 2500;
/** Time in which a relay is found, and has handed on what it knows. */
const RELAY_MS = 4500;

/** Whether a node that starts may yet get from a relay what it would read from the store. */
export function isAwaitingPeers(
  {startedAtMs, exchange}: ServingState,
  nowMs: number,
): boolean {
  const ageMs = nowMs - (startedAtMs ?? nowMs);
  if (!exchange.hasListed) return ageMs < LIST_MS;
  return exchange.isRelayed && exchange.relayRank < 0 && ageMs < RELAY_MS;
}
