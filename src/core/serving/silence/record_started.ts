import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {resolvePoolSigns} from './resolve_pool_signs.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** Records the first event of a request. */
export function recordStarted(
  state: ServingState,
  pool: string,
  vmId: VmId,
): void {
  resolveTargetLoad(state, vmId).startedCount += 1;
  resolvePoolSigns(state, pool).startedCount += 1;
}
