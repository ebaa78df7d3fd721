/** A key of the platform's store with its value. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text, at most one megabyte. */
  readonly value: string;
  /** Version of the last write to this key; versions order all changes of the store. */
  readonly version: number;
  /** Lease that the entry is attached to: the store removes the entry when the lease ends. */
  readonly leaseId?: string;
}
