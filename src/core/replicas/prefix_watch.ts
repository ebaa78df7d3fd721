import type {OperationId} from '../ids/index.js';
import type {StoreEntry} from '../store/types.js';

/** A view of the entries under a prefix of the store: a list, then watches. */
export interface PrefixWatch {
  readonly prefix: string;
  /** The list or watch under way. */
  operationId?: OperationId;
  /** A list that only confirms the view while a watch waits. */
  confirmId?: OperationId;
  kind: 'list' | 'watch';
  sentAtMs: number;
  confirmSentAtMs: number;
  nextAtMs: number;
  /** Whether the whole prefix was read, so that changes suffice. */
  isListed: boolean;
  /** Store-wide revision that the view reflects. */
  revision: number;
  /** The view was current at this time. */
  confirmedAtMs: number;
  /** Entries by key; a removed one has value ''. */
  readonly entries: Map<string, StoreEntry>;
}
