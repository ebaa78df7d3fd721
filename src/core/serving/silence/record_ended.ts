import type {AttemptRecord, ServingState} from '../types.js';
import type {SignRecord} from './types.js';
import {resolvePoolSigns} from './resolve_pool_signs.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** Records that a request has left a target: it ended, failed or was cancelled. */
export function recordEnded(
  state: ServingState,
  pool: string,
  attempt: AttemptRecord,
): void {
  removeRequest(resolveTargetLoad(state, attempt.vmId), attempt);
  removeRequest(resolvePoolSigns(state, pool), attempt);
}

function removeRequest(signs: SignRecord, {startedAtMs}: AttemptRecord): void {
  signs.inFlight -= 1;
  if (startedAtMs !== undefined) signs.startedCount -= 1;
  if (signs.inFlight > 0 || signs.unheardCount > 0) return;
  signs.awaitedSinceMs = undefined;
}
