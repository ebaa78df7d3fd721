import type {ServingState} from '../types.js';
import {isEraUnsettled} from './is_era_unsettled.js';
import {isRestoring} from './is_restoring.js';

/**
 * Records that the store held this node's configuration at `provenAtMs`. A store
 * restored from a backup may lack the operator's last writes, so its configuration
 * isn't proof of the newest one until the restore is over.
 */
export function recordConfigProof(
  state: ServingState,
  provenAtMs: number,
  nowMs: number,
): void {
  const {restore} = state;
  if (isRestoring(state, nowMs)) return;
  if (isEraUnsettled(state, provenAtMs)) {
    restore.heldProofAtMs = Math.max(restore.heldProofAtMs, provenAtMs);
    return;
  }
  state.configReadAtMs = Math.max(state.configReadAtMs, provenAtMs);
  state.configProvenAtMs = Math.max(state.configProvenAtMs, provenAtMs);
}
