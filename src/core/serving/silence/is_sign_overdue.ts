import type {SignRecord} from './types.js';
import {waitLimitMs} from './wait_limit_ms.js';

/** Without requests that could bring a sign, so many may have gone unheard: one was cancelled early, the other one tried again. */
const MAX_UNHEARD_WITHOUT_WORK = 2;
/** A sign is overdue after the mean wait and this multiple of the mean deviation. */
const LATE_DEVIATIONS = 4;
/** The same once several requests have gone unheard. */
const LATE_UNHEARD_DEVIATIONS = 2;

interface OverdueOptions {
  /** Last sign that peers had; -Infinity for none. */
  readonly peersHeardAtMs: number;
  /** Time by which signs are late at least. */
  readonly minMs: number;
  /** Added to the usual wait. */
  readonly extraMs: number;
  /** From this number of unheard requests on, a sign is late sooner. */
  readonly maxUnheard: number;
}

/** Whether a sign is missing that this node should have had from a target, or from any target of a pool. */
export function isSignOverdue(
  signs: SignRecord,
  {peersHeardAtMs, minMs, extraMs, maxUnheard}: OverdueOptions,
  nowMs: number,
): boolean {
  const {awaitedSinceMs, inFlight, unheardCount, sentAtMs} = signs;
  if (awaitedSinceMs === undefined) return false;
  if (inFlight === 0) {
    return (
      unheardCount >= MAX_UNHEARD_WITHOUT_WORK && peersHeardAtMs <= sentAtMs
    );
  }
  const waitedMs = nowMs - Math.max(awaitedSinceMs, peersHeardAtMs) - extraMs;
  if (waitedMs > waitLimitMs(signs, LATE_DEVIATIONS, minMs)) return true;
  if (unheardCount < maxUnheard) return false;
  return waitedMs > waitLimitMs(signs, LATE_UNHEARD_DEVIATIONS, minMs / 2);
}
