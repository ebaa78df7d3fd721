import type {NodeId, OnceKey} from '../ids/index.js';
import type {OnceEntry} from './once_entry.js';
import type {RequestRecord} from '../requests/types.js';

/**
 * What this node does with a key it claims:
 * `claiming` a key that must be absent; `reading` back after an unknown outcome;
 * `asking` the holder; `taking` the claim over; `held`: ours, not dispatched;
 * `dispatched`; `recording` the outcome; `releasing` an undispatched claim.
 */
type OncePhase =
  | 'claiming'
  | 'reading'
  | 'asking'
  | 'taking'
  | 'held'
  | 'dispatched'
  | 'recording'
  | 'releasing';

/** A key that this node claims, holds, or has yet to record. */
export interface OnceClaim {
  readonly onceKey: OnceKey;
  /** Tells this claim from every other claim of the key. */
  readonly nonce: string;
  phase: OncePhase;
  /** Undefined once the request was given up. */
  record?: RequestRecord;
  /** Version of the entry that this claim wrote, or is about to replace. */
  version: number;
  /** Holder that is being asked. */
  holder?: NodeId;
  /** Steps left before the claim is given up. */
  stepsLeft: number;
  /** What is to be written, when `recording`. */
  entry?: OnceEntry;
  /** When a failed write is tried again, and how often it was. */
  retryAtMs?: number;
  retries: number;
}
