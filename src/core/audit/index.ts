export {createAuditState} from './create_audit_state.js';
export {recordAudit} from './record_audit.js';
export {reduceAudit} from './reduce_audit.js';
export type * from './types.js';
