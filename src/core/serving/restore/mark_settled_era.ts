import type {ServingStep} from '../types.js';
import {isEraUnsettled} from './is_era_unsettled.js';
import {isRestoring} from './is_restoring.js';

/** As steward, marks the store's era as settled once it is, so that nodes that start later need not wait for that time. */
export function markSettledEra({state, nowMs, effects}: ServingStep): void {
  const {restore, steward, bounds} = state;
  const {era} = restore;
  if (steward.term === undefined || bounds.accessProofMs === undefined) return;
  if (!era || restore.settledEra === era) return;
  if (isRestoring(state, nowMs) || isEraUnsettled(state, nowMs)) return;
  restore.settledEra = era;
  effects.push({type: 'markSettledEra', era});
}
