import type {AuditRecord} from './audit_record.js';
import type {Step} from '../state/types.js';
import {countMetric, nextId} from '../state/index.js';
import {dropOldest} from './drop_oldest.js';

const MAX_WAITING = 1000;
const MAX_TEXT_LENGTH = 500;

/** Adds a record to the audit trail; it is written to the store with the next batch. */
export function recordAudit(
  step: Step,
  record: Omit<AuditRecord, 'atMs' | 'node' | 'recordId'>,
): void {
  const {audit, self} = step.state;
  const {before, after, ...rest} = record;
  audit.waiting.push({
    ...rest,
    ...(before !== undefined && {before: truncate(before)}),
    ...(after !== undefined && {after: truncate(after)}),
    recordId: nextId(step, 'au'),
    node: self.nodeId,
    atMs: Math.round(step.nowMs),
  });
  if (audit.waiting.length <= MAX_WAITING) return;
  const kept = dropOldest(audit.waiting, MAX_WAITING);
  audit.waiting.splice(0, Infinity, ...kept);
  audit.dropped += 1;
  countMetric(step, 'auditDropped', 1);
}

function truncate(text: string): string {
  return text.length <= MAX_TEXT_LENGTH
    ? text
    : text.slice(0, MAX_TEXT_LENGTH) + '…';
}
