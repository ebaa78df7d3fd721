import type {NodeId, OnceKey} from '../ids/index.js';
import type {OnceEntry} from './once_entry.js';
import type {RequestRecord} from '../requests/types.js';

/**
 * Phase of a claim: `claiming`: writing an entry for an absent key; `reading`: reading
 * the entry back after a write with unknown outcome; `asking`: querying the holder;
 * `taking`: writing over another claim; `held`: claimed by this node, not dispatched;
 * `dispatched`; `recording`: storing the outcome; `releasing`: removing the entry of
 * an undispatched claim.
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

/** Claim of this node on an idempotency key, kept until its outcome is stored. */
export interface OnceClaim {
  readonly onceKey: OnceKey;
  /** Distinguishes this claim from every other claim of the key. */
  readonly nonce: string;
  phase: OncePhase;
  /** Undefined once the request has ended or was refused. */
  record?: RequestRecord;
  /** Version of the entry that this claim wrote, or is about to replace. */
  version: number;
  /** Holder that is being queried. */
  holder?: NodeId;
  /** Entries that may still be examined before the claim is abandoned. */
  examinationsLeft: number;
  /** Outcome to be written, when `recording`. */
  entry?: OnceEntry;
  /** When a failed write is retried. */
  retryAtMs?: number;
  /** Retries of the write so far. */
  retries: number;
}
