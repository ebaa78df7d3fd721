import type {FileFault} from './file_fault.js';

/** Returns the faults ordered by file and line. */
export function sortFaults(faults: readonly FileFault[]): FileFault[] {
  return [...faults].sort((a, b) =>
    a.path === b.path ? a.line - b.line : a.path < b.path ? -1 : 1,
  );
}
