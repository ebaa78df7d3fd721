/** A value of the platform's store. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text, at most one megabyte. */
  readonly value: string;
  /** Of the last write to this key, in the order of all changes of the store. */
  readonly version: number;
  /** Set when the entry vanishes with a lease. */
  readonly leaseId?: string;
}
