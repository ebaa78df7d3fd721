import type {AuditRecord} from './audit_record.js';

/** One of the fixed number of store values that hold the trail, oldest record first. */
export interface AuditSegment {
  /** Store version; 0 while the key does not exist. */
  readonly version: number;
  readonly records: readonly AuditRecord[];
}
