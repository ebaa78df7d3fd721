import type {StewardState} from './types.js';

/** Margin before the end of the lease: the longest time that an order may be in transit. */
const LEASE_MARGIN_MS = 300;

/** Whether this node may send orders now: it holds the steward's lease for longer than an order takes. */
export function hasAuthority(steward: StewardState, nowMs: number): boolean {
  return (
    steward.term !== undefined && nowMs < steward.leaseUntilMs - LEASE_MARGIN_MS
  );
}
