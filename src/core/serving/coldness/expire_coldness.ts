import type {ServingStep} from '../types.js';
import {COLD_WINDOW_MS} from './cold_window_ms.js';
import {logDecision} from '../log_decision.js';
import {resolveColdUntilMs} from './resolve_cold_until_ms.js';

/** Removes what is known of engines that are warm or gone, and counts that have left the window. */
export function expireColdness(step: ServingStep): void {
  const {state, nowMs} = step;
  const {evidence, sendTimesMs, ownership} = state.coldness;
  for (const vmId of evidence.keys()) {
    const engine = state.engines.get(vmId);
    if (engine && resolveColdUntilMs(state, engine) > nowMs) continue;
    evidence.delete(vmId);
    ownership.delete(vmId);
    if (!engine) continue;
    logDecision(step, 'info', 'routing', 'engine is warm', {vmId});
  }
  for (const [vmId, times] of sendTimesMs) {
    const lastMs = times.at(-1) ?? -Infinity;
    if (nowMs - lastMs >= COLD_WINDOW_MS) sendTimesMs.delete(vmId);
  }
}
