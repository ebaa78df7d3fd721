import type {CrashMarker} from './types.js';
import type {ServingRequest, ServingState} from '../types.js';

/** Whether a request is suspected of crashing its targets, even if it may be sent as a trial. */
export function isCrashSuspect(
  {crashes}: ServingState,
  {fingerprint, sharedPartIds}: ServingRequest,
): boolean {
  const markers: readonly CrashMarker[] = [fingerprint, ...sharedPartIds];
  return markers.some(marker => crashes.suspects.has(marker));
}
