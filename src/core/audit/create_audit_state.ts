import type {AuditState} from './audit_state.js';

/** Creates an empty trail. */
export function createAuditState(): AuditState {
  return {
    waiting: [],
    dropped: 0,
    nextWriteAtMs: 0,
    questions: new Map(),
  };
}
