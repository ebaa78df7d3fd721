import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {logDecision} from '../log_decision.js';

/** Drops the suspicion that an engine has ended: it answered a connection that this node began to open at `sinceMs`. */
export function refuteEnd(
  step: ServingStep,
  vmId: VmId,
  sinceMs: number,
): void {
  const {state, nowMs} = step;
  const {suspectedEnds} = state.reachability;
  const end = suspectedEnds.get(vmId);
  if (!end || end.isConfirmed || sinceMs < end.sinceMs) return;
  suspectedEnds.delete(vmId);
  state.steward.probeRequests.delete(vmId);
  state.probeResults.set(vmId, {
    isSilent: false,
    hasResponded: false,
    atMs: nowMs,
  });
  logDecision(step, 'info', 'reachability', 'suspected engine answered', {
    vmId,
    sinceMs: Math.round(nowMs - end.sinceMs),
  });
}
