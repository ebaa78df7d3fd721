import type {FileFault} from './file_fault.js';

/** Orders faults by file and line, as an editor would walk through them. */
export function sortFaults(faults: readonly FileFault[]): FileFault[] {
  return [...faults].sort((a, b) =>
    a.path === b.path ? a.line - b.line : a.path < b.path ? -1 : 1,
  );
}
