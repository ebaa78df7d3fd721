import type {CrashSuspect, ServingState} from './types.js';
import type {Fingerprint} from '../ids/index.js';

/** Targets that a request may have been lost with by chance; it is not sent to more. */
const MAX_LOST_TARGETS = 2;

/** What is held against a request that may have crashed its targets; undefined while it may be sent. */
export function findCrashSuspect(
  state: ServingState,
  fingerprint: Fingerprint,
): CrashSuspect | undefined {
  const suspect = state.crashSuspects.get(fingerprint);
  return suspect && suspect.losses >= MAX_LOST_TARGETS ? suspect : undefined;
}
