import type {ServingRequest, ServingState} from '../types.js';
import {resolveMarkers} from './resolve_markers.js';

/** Whether a request is suspected of crashing its targets, even if it may be sent as a trial. */
export function isCrashSuspect(
  {crashes}: ServingState,
  request: ServingRequest,
): boolean {
  return resolveMarkers(request).some(one => crashes.suspects.has(one));
}
