import type {AuditRecord} from './audit_record.js';
import type {AuditSegment} from './audit_segment.js';
import type {StoreEntry} from '../store/types.js';

/** Parses a segment; an unreadable one counts as empty and is replaced by the next write. */
export function parseSegment(entry: StoreEntry | undefined): AuditSegment {
  if (!entry) return {version: 0, records: []};
  const {version, value} = entry;
  try {
    const {records} = JSON.parse(value) as {records?: unknown};
    if (Array.isArray(records)) {
      return {version, records: records as AuditRecord[]};
    }
  } catch {
    // Not JSON: as empty.
  }
  return {version, records: []};
}
