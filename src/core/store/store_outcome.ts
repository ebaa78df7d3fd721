import type {LeaseId} from '../ids/index.js';
import type {StoreEntry} from './store_entry.js';
import type {VmRecord} from './vm_record.js';

interface Ok {
  readonly kind: 'ok';
  /** get: zero or one; list, watch: all matches. A removed key has the value ''. */
  readonly entries?: readonly StoreEntry[];
  /** Version written, or the store-wide revision that a list or watch reflects. */
  readonly version?: number;
  readonly leaseId?: LeaseId;
  /** list: more entries follow the last one. */
  readonly hasMore?: boolean;
  readonly vms?: readonly VmRecord[];
  /** takeWeightToken: number of tokens granted; `retryAfterMs` is set if fewer than requested. */
  readonly granted?: number;
  readonly retryAfterMs?: number;
}

/** The expected version did not match, or the lease has ended. Nothing was changed. */
interface Conflict {
  readonly kind: 'conflict';
  /** The current entry, if the key exists. */
  readonly current?: StoreEntry;
}

/** The call was sent but no response arrived: a write may have taken effect. */
interface Unknown {
  readonly kind: 'unknown';
}

/** The call did not reach the store; nothing was changed. */
interface Unavailable {
  readonly kind: 'unavailable';
  /** Set if the call was dropped locally because it exceeded this node's call budget. */
  readonly cause?: 'budget';
}

/** Result of a call to the platform's store. */
export type StoreOutcome = (Ok | Conflict | Unknown | Unavailable) & {
  /** Increases by one each time the store is restored from a backup; undefined without a response, or if the platform has no eras. */
  readonly era?: number;
};
