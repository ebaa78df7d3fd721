import type {AuditSegment} from './audit_segment.js';
import type {Step} from '../state/types.js';

/** Stores the segment as read or written, and removes the waiting records that it settles. */
export function noteSegment(
  step: Step,
  segment: AuditSegment,
  settled?: ReadonlySet<string>,
): void {
  const {audit} = step.state;
  audit.segment = segment;
  const held =
    settled ?? new Set(segment.records.map(record => record.recordId));
  const left = audit.waiting.filter(record => !held.has(record.recordId));
  audit.waiting.splice(0, Infinity, ...left);
}
