import type {EngineRecord} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {count} from '../count.js';
import {isEngineCold} from './is_engine_cold.js';
import {resolveColdRules} from './resolve_cold_rules.js';

/** Counts a request that this node sends to an engine, and returns whether the engine is cold. Warm engines are counted too, since they may turn out to be cold. */
export function recordColdSend(
  step: ServingStep,
  {vmId, service}: EngineRecord,
): boolean {
  const {state, nowMs} = step;
  const rules = resolveColdRules(state, service);
  if (!rules) return false;
  const {sendTimesMs} = state.coldness;
  const times = sendTimesMs.get(vmId) ?? [];
  times.push(nowMs);
  // The quota is used up if the earliest of that many sends is in the window.
  while (times.length > Math.max(1, rules.quota)) times.shift();
  sendTimesMs.set(vmId, times);
  const isCold = isEngineCold(state, vmId, nowMs);
  if (isCold) count(step, 'coldSends', 1, {service});
  return isCold;
}
