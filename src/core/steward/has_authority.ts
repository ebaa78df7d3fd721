import type {StewardState} from './types.js';

/** Margin before the end of the lease: the time that an order may be on its way. */
const LEASE_MARGIN_MS = 300;

/** Whether this node may give orders now. */
export function hasAuthority(steward: StewardState, nowMs: number): boolean {
  return (
    steward.term !== undefined && nowMs < steward.leaseUntilMs - LEASE_MARGIN_MS
  );
}
