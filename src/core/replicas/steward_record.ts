import type {Step} from '../state/types.js';

/** Value that this node writes to a steward key: its incarnation and its lease. */
export function stewardRecord({state}: Step): string {
  const {incarnation} = state.self;
  const {leaseId} = state.replicas.lease;
  return JSON.stringify({incarnation, leaseId});
}
