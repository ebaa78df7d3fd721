import type {ServingState} from '../types.js';
import type {ToldLeaving} from './types.js';
import {LEAVING_TOLD_MS} from './leaving_told_ms.js';

/** Maximum number of engines in one datagram; the newest are kept. */
const MAX_LEAVING = 60;

/** Lists the leaving engines to include in digests, without expired announcements. */
export function listToldLeaving(
  {announcements}: ServingState,
  nowMs: number,
): ToldLeaving[] {
  return [...announcements.leaving]
    .filter(([, {atMs}]) => nowMs - atMs < LEAVING_TOLD_MS)
    .slice(-MAX_LEAVING)
    .map(([vmId, {bornAtMs, atMs}]) => ({
      vmId,
      bornAtMs,
      ageMs: Math.max(0, Math.round(nowMs - atMs)),
    }));
}
