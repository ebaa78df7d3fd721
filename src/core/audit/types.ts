export type {AuditRecord} from './audit_record.js';
export type {AuditSegment} from './audit_segment.js';
export type {AuditState} from './audit_state.js';
