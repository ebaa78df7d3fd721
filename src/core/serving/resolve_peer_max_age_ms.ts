import type {ServingState} from './types.js';

/** Requests and callers are sent to a peer only if its last digest is younger than this. */
const DIRECT_MAX_AGE_MS = 900;
/** Longer for peers that a relay reports, because the peer and the relay both send less often when idle. */
const RELAYED_MAX_AGE_MS = 1800;

/** Returns the age of a peer's last digest up to which it counts as available. */
export function resolvePeerMaxAgeMs({exchange}: ServingState): number {
  return exchange.isRelayed ? RELAYED_MAX_AGE_MS : DIRECT_MAX_AGE_MS;
}
