import {createHash} from 'node:crypto';

const BLOCK_CHARS = 256;
const MAX_BLOCKS = 32;
const HASH_CHARS = 16;

/**
 * Chained hashes of a prompt's blocks, shortest prefix first. Two prompts share
 * a hash only when they share all text up to the end of that block.
 */
export function hashPrefixes(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARS));
  for (let block = 0; block < blocks; block++) {
    const from = block * BLOCK_CHARS;
    const text = previous + prompt.slice(from, from + BLOCK_CHARS);
    previous = createHash('sha256')
      .update(text)
      .digest('hex')
      .slice(0, HASH_CHARS);
    hashes.push(previous);
  }
  return hashes;
}
