import type {CrashMarker, CrashReport} from './types.js';
import {resolveMarkers} from './resolve_markers.js';

/** Lists the requests that were running at a crashed engine, and the parts of those that had not begun to answer. */
export function listMarkers({runs}: CrashReport): CrashMarker[] {
  return [...runs].flatMap(([fingerprint, sharedPartIds]) =>
    resolveMarkers({fingerprint, sharedPartIds}),
  );
}
