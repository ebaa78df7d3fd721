import type {AuditRecord} from './audit_record.js';

const SYSTEM = 'system';

/** Shortens a trail to `limit` records; system records go first, so that orders never displace operators' changes. */
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
