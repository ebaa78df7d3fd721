import type {FileFault} from './file_fault.js';

/** Formats a fault on one line, in the style of compilers: `path:line: name: ...`. */
export function formatFault(fault: FileFault): string {
  const {path, line, name, expected, got} = fault;
  const place = line > 0 ? `${path}:${line}` : path;
  return `${place}: ${name}: expected ${expected}, got ${got}`;
}
