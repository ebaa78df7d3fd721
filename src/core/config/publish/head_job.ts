import type {ConfigConflict} from '../config_conflict.js';
import type {ConfigHead} from '../config_head.js';
import type {OperationId} from '../../ids/index.js';

/** A change of one key by a job; null removes it. */
interface Edit {
  readonly key: string;
  readonly text: string | null;
}

/**
 * Moves `config/head`: a publication, or the restoring of a store that lost
 * what nodes have in force. Texts are written first, then the head is swapped;
 * the swap is the acceptance.
 */
export interface HeadJob {
  readonly jobId: string;
  readonly kind: 'publish' | 'restore';
  /** Operator's call to answer. */
  readonly operationId?: OperationId;
  readonly operator: string;
  readonly publicationId: string;
  readonly edits: readonly Edit[];
  /** Services without an edit are removed. */
  readonly prune: boolean;
  /** Changes by others since then conflict; the first head read, when the operator named none. */
  baseRevision?: number;
  phase: 'reading' | 'writing' | 'swapping' | 'comparing';
  /** Head that is to be replaced, with its store version. */
  head?: ConfigHead;
  headVersion: number;
  next?: ConfigHead;
  /** Keys whose texts are being written or read. */
  readonly waiting: Set<string>;
  readonly conflicts: ConfigConflict[];
  /** A swap had no answer: it may have taken effect. */
  mayBeAccepted: boolean;
  readonly deadlineAtMs: number;
  /** Failed calls so far. */
  failures: number;
  /** When to go on after a failed call. */
  retryAtMs?: number;
}
