import type {OnceEntry} from './once_entry.js';

/** Parses a value under `once/`; undefined when it is not an entry. */
export function parseOnceEntry(value: string): OnceEntry | undefined {
  try {
    const entry = JSON.parse(value) as OnceEntry;
    return typeof entry?.nonce === 'string' ? entry : undefined;
  } catch {
    return undefined;
  }
}
