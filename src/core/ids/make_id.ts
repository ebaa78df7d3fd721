import type {Branded} from './branded.js';

/** Brands a string that was checked, or made, by the caller. */
export function makeId<T extends Branded<string>>(text: string): T {
  return text as T;
}
