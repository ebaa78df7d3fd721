import type {ConfigHead} from '../config_head.js';
import type {HeadJob} from './head_job.js';

/** Keys that this job changes and that others changed since its base. Other keys rebase. */
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
