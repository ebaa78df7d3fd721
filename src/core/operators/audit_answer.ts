import type {AuditRecord} from '../audit/types.js';

/** Answer to `audit`, oldest record first. */
export interface AuditAnswer {
  readonly records: readonly AuditRecord[];
  /** Number of records that the answering node has not written yet. */
  readonly waiting: number;
  /** Number of records that it dropped because too many were waiting. */
  readonly dropped: number;
}
