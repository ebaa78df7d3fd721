import type {CrashMarker, CrashSuspicion} from './types.js';
import type {ServingRequest, ServingState} from '../types.js';
import {listAttempts} from '../hedges/index.js';
import {resolveMarkers} from './resolve_markers.js';

/** Time after which a request that waits for the outcome of a trial is worth sending again: a first event and its way to peers. */
const TRIAL_RETRY_MS = 1000;

/** Returns what makes a request suspected of crashing its targets; undefined if it may be sent. */
export function findCrashSuspect(
  state: ServingState,
  request: ServingRequest,
  nowMs: number,
): CrashSuspicion | undefined {
  const {suspects} = state.crashes;
  if (suspects.size === 0) return undefined;
  for (const marker of resolveMarkers(request)) {
    const suspect = suspects.get(marker);
    if (!suspect) continue;
    const leftMs = suspect.untilMs - nowMs;
    if (leftMs > 0) return {marker, retryAfterMs: leftMs};
    if (isOnTrial(state, marker)) {
      return {marker, retryAfterMs: TRIAL_RETRY_MS};
    }
  }
  return undefined;
}

/** Whether a request with the marker is at a target and has not shown yet whether it crashes it. */
function isOnTrial(state: ServingState, marker: CrashMarker): boolean {
  for (const [{request}, attempt] of listAttempts(state)) {
    if (attempt.hasSurvived) continue;
    if (resolveMarkers(request).includes(marker)) return true;
  }
  return false;
}
