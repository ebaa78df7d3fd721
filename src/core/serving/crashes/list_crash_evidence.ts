import type {
  CrashReportEntry,
  CrashSuspectEntry,
  SurvivalEntry,
} from './types.js';
import type {ServingState} from '../types.js';

/** News is sent for this long: several digests at the longest interval, since datagrams may be lost. */
const NEWS_PERIOD_MS = 1500;
/** Bounds of one digest; the newest entries are sent. */
const MAX_REPORTS = 12;
const MAX_SUSPECTS = 20;
const MAX_SURVIVALS = 20;

interface CrashEvidence {
  readonly crashReports: CrashReportEntry[];
  readonly suspects: CrashSuspectEntry[];
  readonly survivals: SurvivalEntry[];
}

/** Lists what a digest tells peers of crashes: news, all suspects, and the last reports if a peer is new. */
export function listCrashEvidence(
  {crashes}: ServingState,
  hasNewPeer: boolean,
  nowMs: number,
): CrashEvidence {
  const isDue = ({updatedAtMs}: {readonly updatedAtMs: number}) =>
    hasNewPeer || nowMs - updatedAtMs < NEWS_PERIOD_MS;
  const ageOf = (atMs: number) => Math.max(0, Math.round(nowMs - atMs));
  return {
    crashReports: [...crashes.reports.values()]
      .filter(isDue)
      .sort((a, b) => a.atMs - b.atMs)
      .slice(-MAX_REPORTS)
      .map(({vmId, bornAtMs, pool, atMs, runs}) => ({
        vmId,
        bornAtMs,
        pool,
        ageMs: ageOf(atMs),
        runs: [...runs].map(([fingerprint, sharedPartIds]) => ({
          fingerprint,
          sharedPartIds,
        })),
      })),
    suspects: [...crashes.suspects]
      .filter(([, {untilMs}]) => untilMs > nowMs)
      .sort(([, a], [, b]) => a.lastLossAtMs - b.lastLossAtMs)
      .slice(-MAX_SUSPECTS)
      .map(([marker, {kind, losses, lastLossAtMs, untilMs}]) => ({
        marker,
        kind,
        losses,
        lastLossAgeMs: ageOf(lastLossAtMs),
        leftMs: Math.round(untilMs - nowMs),
      })),
    survivals: [...crashes.survivals]
      .filter(([, survival]) => isDue(survival))
      .sort(([, a], [, b]) => a.updatedAtMs - b.updatedAtMs)
      .slice(-MAX_SURVIVALS)
      .map(([marker, {atMs}]) => ({marker, ageMs: ageOf(atMs)})),
  };
}
