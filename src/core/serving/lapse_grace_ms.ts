import type {ServingBounds} from './types.js';

/** Time that the removal of an entry takes to reach all nodes by way of relays, and a request of such a node its engine. */
const PROPAGATION_MS = 1500;

/**
 * How long an engine without an entry is still used. It may be leaving: then it
 * serves for `drainMs` after the removal, and must get no request later.
 */
export function lapseGraceMs({drainMs = 0}: ServingBounds): number {
  return Math.max(0, drainMs - PROPAGATION_MS);
}
