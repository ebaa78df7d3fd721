import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {countRecent} from './count_recent.js';

/** Counts a request that this node sends to an engine. */
export function recordSend(
  {rateLimits}: ServingState,
  vmId: VmId,
  nowMs: number,
): void {
  const {ownSends, decisions} = rateLimits;
  const count = 1 + countRecent(ownSends.get(vmId), nowMs);
  ownSends.set(vmId, {count, atMs: nowMs});
  const decision = decisions.get(vmId);
  if (decision) decisions.set(vmId, {...decision, isOpen: false});
}
