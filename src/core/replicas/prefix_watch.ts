import type {OperationId} from '../ids/index.js';
import type {StoreEntry} from '../store/types.js';

/** View of the entries under a store prefix, read by a list and kept current by watches. */
export interface PrefixWatch {
  readonly prefix: string;
  /** The list or watch in flight. */
  operationId?: OperationId;
  /** A list in flight that confirms the view while a watch is pending. */
  confirmId?: OperationId;
  kind: 'list' | 'watch';
  sentAtMs: number;
  confirmSentAtMs: number;
  nextAtMs: number;
  /** Whether the whole prefix was read, so that a watch for changes suffices. */
  isListed: boolean;
  /** Store-wide revision that the view reflects. */
  revision: number;
  /** Latest time at which the view is known to have been current. */
  confirmedAtMs: number;
  /** Entries by key; a removed one has value ''. */
  readonly entries: Map<string, StoreEntry>;
}
