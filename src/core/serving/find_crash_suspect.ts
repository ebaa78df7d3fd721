import type {CrashSuspect, ServingState} from './types.js';
import type {Fingerprint} from '../ids/index.js';

/** A request that was running at this many lost targets is not sent to another; fewer losses may be coincidence. */
const MAX_LOST_TARGETS = 2;

/** Returns the record of a request suspected of crashing its targets; undefined if it may be sent. */
export function findCrashSuspect(
  state: ServingState,
  fingerprint: Fingerprint,
): CrashSuspect | undefined {
  const suspect = state.crashSuspects.get(fingerprint);
  return suspect && suspect.losses >= MAX_LOST_TARGETS ? suspect : undefined;
}
