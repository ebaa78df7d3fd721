/** A value of the platform's store. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text, at most one megabyte. */
  readonly value: string;
  /** Store-wide revision of the last write to this key; never reused. */
  readonly version: number;
  /** Set when the entry vanishes with a lease. */
  readonly leaseId?: string;
}
