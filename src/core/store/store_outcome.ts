import type {LeaseId} from '../ids/index.js';
import type {StoreEntry} from './store_entry.js';
import type {VmRecord} from './vm_record.js';

interface Ok {
  readonly kind: 'ok';
  /** get: zero or one; list, watch: those found. A removed key has value ''. */
  readonly entries?: readonly StoreEntry[];
  /** Version written, or the store-wide revision that a list or watch reflects. */
  readonly version?: number;
  readonly leaseId?: LeaseId;
  /** list: more entries follow the last one. */
  readonly hasMore?: boolean;
  readonly vms?: readonly VmRecord[];
  /** takeWeightToken: tokens granted, and when to ask again if fewer than asked. */
  readonly granted?: number;
  readonly retryAfterMs?: number;
}

/** The expected version did not match, or the lease is gone. Nothing was changed. */
interface Conflict {
  readonly kind: 'conflict';
  /** The entry as it stands, when there is one. */
  readonly current?: StoreEntry;
}

/** The call went out and its answer did not come: a write may have taken effect. */
interface Unknown {
  readonly kind: 'unknown';
}

/** The call did not reach the store; nothing was changed. */
interface Unavailable {
  readonly kind: 'unavailable';
  /** Set when this node's own call budget held the call back. */
  readonly cause?: 'budget';
}

/** What became of a call to the platform. */
export type StoreOutcome = (Ok | Conflict | Unknown | Unavailable) & {
  /** Rises by one each time that the store comes back from a copy; undefined where no answer came, or the platform counts none. */
  readonly era?: number;
};
