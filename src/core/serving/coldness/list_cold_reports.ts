import type {ColdReport} from './types.js';
import type {ServingState} from '../types.js';
import {resolveColdUntilMs} from './resolve_cold_until_ms.js';

/** Limit on the reports in one datagram; those with the most time left are kept. */
const MAX_REPORTS = 60;

/** Lists engines that are cold. A node reports only what engines told it, a relay (`isSummary`) also what peers report. */
export function listColdReports(
  state: ServingState,
  {isSummary}: {readonly isSummary: boolean},
  nowMs: number,
): ColdReport[] {
  const reports: ColdReport[] = [];
  for (const [vmId, {isFirstHand}] of state.coldness.evidence) {
    const engine = state.engines.get(vmId);
    if (!engine || !(isFirstHand || isSummary)) continue;
    const leftMs = Math.round(resolveColdUntilMs(state, engine) - nowMs);
    if (leftMs > 0) reports.push({vmId, bornAtMs: engine.bornAtMs, leftMs});
  }
  return reports.sort((a, b) => b.leftMs - a.leftMs).slice(0, MAX_REPORTS);
}
