export {createAuditState} from './create_audit_state.js';
export {describeTextChange} from './describe_text_change.js';
export {isAuditWritten} from './is_audit_written.js';
export {recordAudit} from './record_audit.js';
export {reduceAudit} from './reduce_audit.js';
export type * from './types.js';
