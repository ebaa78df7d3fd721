import type {AuditRecord} from '../audit/types.js';

/** Answer to `audit`, oldest record first. */
export interface AuditAnswer {
  readonly records: readonly AuditRecord[];
  /** Records that the asked node has yet to write. */
  readonly waiting: number;
  /** Records that it gave up in a long outage of the store. */
  readonly dropped: number;
}
