import type {FileFault} from './file_fault.js';

/** Writes a fault on one line, the way compilers do. */
export function formatFault(fault: FileFault): string {
  const {path, line, name, expected, got} = fault;
  const place = line > 0 ? `${path}:${line}` : path;
  return `${place}: ${name}: expected ${expected}, got ${got}`;
}
