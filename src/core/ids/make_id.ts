import type {Branded} from './branded.js';

/** Brands a string without validating it; validation is up to the caller. */
export function makeId<T extends Branded<string>>(text: string): T {
  return text as T;
}
