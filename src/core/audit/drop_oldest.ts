import type {AuditRecord} from './audit_record.js';

const SYSTEM = 'system';

/** Shortens a trail; the system's own records go first, so that orders never push out operators' changes. */
export function dropOldest(
  records: readonly AuditRecord[],
  limit: number,
): AuditRecord[] {
  let excess = records.length - limit;
  if (excess <= 0) return [...records];
  const kept = records.filter(record => {
    if (excess === 0 || record.who !== SYSTEM) return true;
    excess -= 1;
    return false;
  });
  return kept.slice(excess);
}
