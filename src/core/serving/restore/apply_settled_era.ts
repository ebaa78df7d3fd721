import type {ServingState} from '../types.js';
import {isEraUnsettled} from './is_era_unsettled.js';
import {isRestoring} from './is_restoring.js';
import {recordConfigProof} from './record_config_proof.js';

/** Applies the era that is marked in the store as settled; a proof that was held until this was known counts if it is the present one. */
export function applySettledEra(
  state: ServingState,
  era: number,
  nowMs: number,
): void {
  const {restore} = state;
  restore.settledEra = era;
  if (isRestoring(state, nowMs) || isEraUnsettled(state, nowMs)) return;
  recordConfigProof(state, restore.heldProofAtMs, nowMs);
}
