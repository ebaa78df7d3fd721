import type {PaceReport} from './types.js';
import type {ServingState, ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {learnsPace} from './learns_pace.js';
import {startRecovery} from './start_recovery.js';

/** A report counts as later than what is known only beyond the delay of digests, since relays pass on what this node reported itself. */
const MIN_LATER_MS = 20;
/** A target that this node had an event from this recently is not slowed down for a peer that has trouble with it. */
const OWN_PROGRESS_MS = 1000;

/** Takes over what peers know of the pace of targets; the latest evidence counts. */
export function applyPaceReports(
  step: ServingStep,
  reports: readonly PaceReport[] = [],
): void {
  const {state, nowMs} = step;
  const {records, seen} = state.pace;
  for (const {vmId, bornAtMs, window, ageMs, hasRecovered} of reports) {
    const engine = state.engines.get(vmId);
    if (engine?.bornAtMs !== bornAtMs) continue;
    if (!learnsPace(state, engine.service)) continue;
    const atMs = nowMs - ageMs;
    const known = records.get(vmId);
    const isNew = known?.bornAtMs !== bornAtMs;
    if (!isNew && atMs <= known.evidenceAtMs + MIN_LATER_MS) continue;
    if (isNew && (hasRecovered || isServing(state, vmId, nowMs))) continue;
    if (isNew) startRecovery(state, vmId, nowMs);
    seen?.set(vmId, bornAtMs);
    const pace = records.get(vmId)!;
    if (pace.hasRecovered) continue;
    pace.window = Math.max(1, window);
    pace.evidenceAtMs = atMs;
    pace.hasRecovered = hasRecovered;
  }
}

function isServing(
  {targetLoads}: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const progressAtMs = targetLoads.get(vmId)?.progressAtMs ?? -Infinity;
  return nowMs - progressAtMs < OWN_PROGRESS_MS;
}
