import type {ServingStep, ServingTarget} from '../types.js';
import {isPoolSilent} from './is_pool_silent.js';
import {isTargetSilent} from './is_target_silent.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** A probe is answered or given up by then, so one at a time is on its way. */
const PROBE_INTERVAL_MS = 250;

/** Probes silent targets that requests wait for, and idle ones that streams of a silent pool could move to. */
export function probeSilent(step: ServingStep): void {
  const {state, nowMs} = step;
  for (const [pool, signs] of state.poolSigns) {
    if (nowMs - signs.probedAtMs < PROBE_INTERVAL_MS) continue;
    const isAwaited = (state.waitingByPool.get(pool)?.length ?? 0) > 0;
    const canMove = signs.inFlight > 0 && isPoolSilent(state, pool, nowMs);
    if (!isAwaited && !canMove) continue;
    const target = selectSilent(step, pool, isAwaited);
    if (!target) continue;
    const {vmId, engine} = target;
    signs.probedAtMs = nowMs;
    resolveTargetLoad(state, vmId).probedAtMs = nowMs;
    const {address} = engine;
    const isForSilence = true;
    step.effects.push({type: 'probeEngine', vmId, address, isForSilence});
  }
}

/** Selects the silent target whose last probe is the longest ago. One with requests may only be slow to answer them: its process is asked if others wait. */
function selectSilent(
  {state, nowMs}: ServingStep,
  pool: string,
  includesBusy: boolean,
): ServingTarget | undefined {
  const isWholePool = isPoolSilent(state, pool, nowMs);
  let best: ServingTarget | undefined;
  let bestAtMs = Infinity;
  for (const target of state.targetsByPool.get(pool) ?? []) {
    const {inFlight, probedAtMs} = resolveTargetLoad(state, target.vmId);
    if (inFlight > 0 && !includesBusy) continue;
    if (probedAtMs >= bestAtMs) continue;
    if (!isWholePool && !isTargetSilent(state, target, nowMs)) continue;
    best = target;
    bestAtMs = probedAtMs;
  }
  return best;
}
