import type {ColdReport} from './types.js';
import type {ServingStep} from '../types.js';
import {recordCold} from './record_cold.js';
import {resolveColdUntilMs} from './resolve_cold_until_ms.js';

/** Reports that extend a known cold time by less are ignored: relays pass them on to each other, and the delay of each would extend it without end. */
const MIN_EXTENSION_MS = 500;

/** Takes over the cold engines that a peer reports. */
export function applyColdReports(
  step: ServingStep,
  reports: readonly ColdReport[] = [],
): void {
  const {state, nowMs} = step;
  for (const {vmId, bornAtMs, leftMs} of reports) {
    const engine = state.engines.get(vmId);
    if (engine?.bornAtMs !== bornAtMs) continue;
    const untilMs = Math.max(nowMs, resolveColdUntilMs(state, engine));
    if (nowMs + leftMs - untilMs < MIN_EXTENSION_MS) continue;
    recordCold(step, engine, {leftMs, source: 'peer'});
  }
}
