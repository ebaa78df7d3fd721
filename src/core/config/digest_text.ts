import {createHash} from 'node:crypto';

const DIGEST_LETTERS = 32;

/** Digest that names a text in the store: the first half of its SHA-256. */
export function digestText(text: string): string {
  const whole = createHash('sha256').update(text).digest('hex');
  return whole.slice(0, DIGEST_LETTERS);
}
