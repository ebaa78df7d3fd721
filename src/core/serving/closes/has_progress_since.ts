import type {AttemptRecord, ServingState} from '../types.js';
import {listAttempts} from '../hedges/index.js';
import {TOGETHER_MS} from './together_ms.js';

/** What was sent before an end and got lost in transit arrives in one burst; events this far apart were sent one after the other. */
const MIN_SPREAD_MS = 30;

/**
 * Whether the process that sent a body has gone on to send events of another
 * response. Events of a stream that wasn't read all the time may be older.
 */
export function hasProgressSince(
  state: ServingState,
  {vmId, bornAtMs, closed}: AttemptRecord,
): boolean {
  const {atMs, aliveAtMs} = closed!;
  for (const [, attempt] of listAttempts(state)) {
    if (attempt.vmId !== vmId || attempt.bornAtMs !== bornAtMs) continue;
    if (attempt.isDelayed || attempt.sentAtMs > aliveAtMs) continue;
    const {recentProgressAtMs = []} = attempt;
    const since = recentProgressAtMs.filter(ms => ms > atMs + TOGETHER_MS);
    if (since.length < 2) continue;
    if (since.at(-1)! - since[0]! >= MIN_SPREAD_MS) return true;
  }
  return false;
}
