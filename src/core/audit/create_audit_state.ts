import type {AuditState} from './audit_state.js';

/** Creates an empty trail. */
export function createAuditState(): AuditState {
  return {waiting: []};
}
