import type {AttemptRecord, ServingState} from '../types.js';
import {TOGETHER_MS} from './together_ms.js';

/**
 * Whether the process that sent a body has gone on to send events of another
 * response. Events of a stream that wasn't read all the time may be older.
 */
export function hasProgressSince(
  {requestsByAttempt}: ServingState,
  {vmId, bornAtMs, closed}: AttemptRecord,
): boolean {
  for (const {attempt} of requestsByAttempt.values()) {
    if (attempt?.vmId !== vmId || attempt.bornAtMs !== bornAtMs) continue;
    if (attempt.isDelayed || attempt.sentAtMs > closed!.aliveAtMs) continue;
    if (attempt.progressAtMs > closed!.atMs + TOGETHER_MS) return true;
  }
  return false;
}
