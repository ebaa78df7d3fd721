import type {ServingState} from '../types.js';
import {REREGISTRATION_MS} from '../reregistration_ms.js';
import {isRestoring} from '../restore/index.js';

/**
 * Whether the store may lack the operator's last writes since it was restored from
 * a backup. A node that has just started can't tell when that was, unless the era
 * is marked as settled.
 */
export function isSettling(state: ServingState, nowMs: number): boolean {
  if (isRestoring(state, nowMs)) return true;
  const {restore, isFirstStart, startedAtMs} = state;
  if (!restore.era || restore.settledEra === restore.era) return false;
  return !isFirstStart && nowMs < (startedAtMs ?? nowMs) + REREGISTRATION_MS;
}
