import type {AuditState} from './audit_state.js';

/** Creates the state of a node without records. */
export function createAuditState(): AuditState {
  return {
    waiting: [],
    dropped: 0,
    nextWriteAtMs: 0,
    questions: new Map(),
  };
}
