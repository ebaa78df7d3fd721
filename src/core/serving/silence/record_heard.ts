import type {ServingStep} from '../types.js';
import type {SignRecord} from './types.js';
import type {VmId} from '../../ids/index.js';
import {noteSilence} from './note_silence.js';
import {recordWait} from './record_wait.js';
import {startRecovery} from '../pace/index.js';
import {resolvePoolSigns} from './resolve_pool_signs.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** Records a sign that a target's process is running. Returns whether the target or its pool was silent until then, so that requests may wait for it. */
export function recordHeard(
  step: ServingStep,
  pool: string,
  vmId: VmId,
): boolean {
  const {state} = step;
  const load = resolveTargetLoad(state, vmId);
  const signs = resolvePoolSigns(state, pool);
  const isPoolHeardAgain = signs.silentSinceMs !== undefined;
  const isHeardAgain = load.silentSinceMs !== undefined;
  if (isHeardAgain) startRecovery(state, vmId, step.nowMs);
  noteSilence(step, load, false, {target: vmId});
  noteSilence(step, signs, false, {pool});
  hear(load, step.nowMs);
  hear(signs, step.nowMs);
  if (isPoolHeardAgain) allowTrials(step, pool);
  return isHeardAgain || isPoolHeardAgain;
}

function hear(signs: SignRecord, nowMs: number): void {
  recordWait(signs, nowMs);
  signs.heardAtMs = nowMs;
  signs.unheardCount = 0;
  signs.awaitedSinceMs = signs.inFlight > 0 ? nowMs : undefined;
}

/** Targets that fell silent together probably run again together: each one without requests is sent one. */
function allowTrials({state}: ServingStep, pool: string): void {
  for (const {vmId} of state.targetsByPool.get(pool) ?? []) {
    const load = state.targetLoads.get(vmId);
    if (!load || load.inFlight > 0) continue;
    load.unheardCount = Math.min(1, load.unheardCount);
  }
}
