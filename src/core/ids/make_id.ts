import type {Branded} from './branded.js';

/** Brands a string without validating it; the calling code validates it. */
export function makeId<T extends Branded<string>>(text: string): T {
  return text as T;
}
