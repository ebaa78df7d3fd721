import type {ConfigConflict} from '../config_conflict.js';
import type {ConfigHead} from '../config_head.js';
import type {OperationId} from '../../ids/index.js';

/** A change of one part by a job; a null text removes the part. */
interface Edit {
  readonly key: string;
  readonly text: string | null;
}

/**
 * Replaces `config/head`: either a publication, or writing the configuration in
 * force back to a store that lost it. Texts are written first, then the head
 * is replaced by compare-and-swap, which is the acceptance.
 */
export interface HeadJob {
  readonly jobId: string;
  readonly kind: 'publish' | 'restore';
  /** Operator request to answer; absent for a restore. */
  readonly operationId?: OperationId;
  readonly operator: string;
  readonly publicationId: string;
  readonly edits: readonly Edit[];
  /** Whether services without an edit are removed. */
  readonly prune: boolean;
  /**
   * Changes by others after this revision conflict; by default the revision of
   * the first head read.
   */
  baseRevision?: number;
  phase: 'reading' | 'writing' | 'swapping' | 'comparing';
  /** Head to replace. */
  head?: ConfigHead;
  /** Store version of the head to replace; 0 when there is none. */
  headVersion: number;
  /** Head to write. */
  next?: ConfigHead;
  /** Keys whose texts are being written or read. */
  readonly waiting: Set<string>;
  readonly conflicts: ConfigConflict[];
  /** Whether a swap without a known outcome may have taken effect. */
  mayBeAccepted: boolean;
  readonly deadlineAtMs: number;
  /** Store calls of this job that failed. */
  failures: number;
  /** When to retry after a failed call. */
  retryAtMs?: number;
}
