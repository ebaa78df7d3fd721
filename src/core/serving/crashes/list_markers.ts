import type {CrashMarker, CrashReport} from './types.js';

/** Lists the requests that were running at a crashed engine, and the parts of those that had not begun to answer. */
export function listMarkers({runs}: CrashReport): CrashMarker[] {
  return [...runs].flatMap<CrashMarker>(([fingerprint, sharedPartIds]) => [
    fingerprint,
    ...sharedPartIds,
  ]);
}
