import type {PaceReport} from './types.js';
import type {ServingState} from '../types.js';

/** Limit on the reports in one datagram; those with the latest evidence are kept. */
const MAX_REPORTS = 60;

/** Lists what is known of the pace of recovering targets. */
export function listPaceReports(
  {pace}: ServingState,
  nowMs: number,
): PaceReport[] {
  return [...pace.records]
    .sort(([, a], [, b]) => b.evidenceAtMs - a.evidenceAtMs)
    .slice(0, MAX_REPORTS)
    .map(([vmId, {bornAtMs, window, evidenceAtMs, hasRecovered}]) => ({
      vmId,
      bornAtMs,
      window,
      ageMs: Math.max(0, Math.round(nowMs - evidenceAtMs)),
      hasRecovered,
    }));
}
