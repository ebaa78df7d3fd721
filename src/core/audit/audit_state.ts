import type {AuditRecord} from './audit_record.js';

/** Records that wait to be written to the store. */
export interface AuditState {
  readonly waiting: AuditRecord[];
}
