import type {Step} from '../state/types.js';

/** Value of a steward key that this node writes: who holds it, under which lease. */
export function stewardRecord({state}: Step): string {
  const {incarnation} = state.self;
  const {leaseId} = state.replicas.lease;
  return JSON.stringify({incarnation, leaseId});
}
