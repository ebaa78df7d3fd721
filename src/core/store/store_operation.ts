import type {LeaseId} from '../ids/index.js';

interface Get {
  readonly kind: 'get';
  readonly key: string;
}

interface CompareAndSwap {
  readonly kind: 'compareAndSwap';
  readonly key: string;
  /** 0 for a key that must not exist. */
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

/** Long poll: answers when a key under the prefix is past `sinceVersion`, or empty at the time-out. */
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

/** Asks leave to load weights; the platform limits the rate. */
interface TakeWeightToken {
  readonly kind: 'takeWeightToken';
  readonly count: number;
}

/** A call to the platform, as data. */
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
