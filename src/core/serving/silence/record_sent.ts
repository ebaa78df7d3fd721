import type {ServingState} from '../types.js';
import type {SignRecord} from './types.js';
import type {VmId} from '../../ids/index.js';
import {resolvePoolSigns} from './resolve_pool_signs.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** Records a request that is sent to a target of a pool. */
export function recordSent(
  state: ServingState,
  pool: string,
  vmId: VmId,
  nowMs: number,
): void {
  addRequest(resolveTargetLoad(state, vmId), nowMs);
  addRequest(resolvePoolSigns(state, pool), nowMs);
}

function addRequest(signs: SignRecord, nowMs: number): void {
  // Earlier requests that were cancelled bring no sign any more.
  if (signs.inFlight === 0) signs.awaitedSinceMs = nowMs;
  signs.inFlight += 1;
  signs.unheardCount += 1;
  signs.sentAtMs = nowMs;
}
