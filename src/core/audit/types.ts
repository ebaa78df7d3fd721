export type {AuditRecord} from './audit_record.js';
export type {AuditState} from './audit_state.js';
