import type {AuditSegment} from './audit_segment.js';
import type {Step} from '../state/types.js';

/** Takes a segment as read or written, and lets go of the records that are settled by it. */
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
