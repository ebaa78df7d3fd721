import type {ConfigHead} from '../config_head.js';
import type {HeadJob} from './head_job.js';

/**
 * Returns the keys changed both by this job and by others since its base; other
 * changes apply on top of the current head.
 */
export function findConflicts(
  job: HeadJob,
  head: ConfigHead,
  changed: readonly string[],
): string[] {
  const base = job.baseRevision!;
  return changed.filter(key => {
    const changedAt = head.parts[key]?.revision ?? head.removed[key] ?? 0;
    return changedAt > base;
  });
}
