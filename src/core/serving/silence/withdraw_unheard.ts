import type {AttemptRecord, ServingState} from '../types.js';
import type {SignRecord} from './types.js';
import {resolvePoolSigns} from './resolve_pool_signs.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** Records that a request does not wait in the connection of a target that stands still: it was not sent, or its connection was reset. */
export function withdrawUnheard(
  state: ServingState,
  pool: string,
  attempt: AttemptRecord,
): void {
  withdraw(resolveTargetLoad(state, attempt.vmId), attempt);
  withdraw(resolvePoolSigns(state, pool), attempt);
}

function withdraw(signs: SignRecord, {sentAtMs}: AttemptRecord): void {
  if (sentAtMs < signs.heardAtMs || signs.unheardCount === 0) return;
  signs.unheardCount -= 1;
}
