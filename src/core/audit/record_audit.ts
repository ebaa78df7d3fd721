import type {AuditRecord} from './audit_record.js';
import type {Step} from '../state/types.js';

/** Adds a record to the audit trail. */
export function recordAudit(
  step: Step,
  record: Omit<AuditRecord, 'atMs' | 'node'>,
): void {
  const node = step.state.self.nodeId;
  step.state.audit.waiting.push({...record, node, atMs: step.nowMs});
}
