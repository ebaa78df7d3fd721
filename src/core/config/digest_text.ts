import {createHash} from 'node:crypto';

const DIGEST_LENGTH = 32;

/** Digest that names a text in the store: the first half of its SHA-256. */
export function digestText(text: string): string {
  const sha256 = createHash('sha256').update(text).digest('hex');
  return sha256.slice(0, DIGEST_LENGTH);
}
