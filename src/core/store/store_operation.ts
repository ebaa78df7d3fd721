import type {LeaseId} from '../ids/index.js';

interface Get {
  readonly kind: 'get';
  readonly key: string;
}

interface CompareAndSwap {
  readonly kind: 'compareAndSwap';
  readonly key: string;
  /** 0 requires that the key does not exist. */
  readonly expectedVersion: number;
  /** JSON text; null removes the key. */
  readonly value: string | null;
  readonly leaseId?: LeaseId;
}

interface List {
  readonly kind: 'list';
  readonly prefix: string;
  /** Last key of the previous page. */
  readonly afterKey?: string;
  readonly limit?: number;
}

/** Long poll: returns once a key under the prefix has a version above `sinceVersion`, or without entries at the time-out. */
interface Watch {
  readonly kind: 'watch';
  readonly prefix: string;
  readonly sinceVersion: number;
  readonly timeoutMs: number;
}

interface GrantLease {
  readonly kind: 'grantLease';
  readonly ttlMs: number;
}

interface KeepAlive {
  readonly kind: 'keepAlive';
  readonly leaseId: LeaseId;
}

interface RevokeLease {
  readonly kind: 'revokeLease';
  readonly leaseId: LeaseId;
}

interface ListVms {
  readonly kind: 'listVms';
}

/** Requests tokens for loading model weights; the platform limits their rate. */
interface TakeWeightToken {
  readonly kind: 'takeWeightToken';
  readonly count: number;
}

/** A call to the platform's store, as a plain data object. */
export type StoreOperation =
  | Get
  | CompareAndSwap
  | List
  | Watch
  | GrantLease
  | KeepAlive
  | RevokeLease
  | ListVms
  | TakeWeightToken;
