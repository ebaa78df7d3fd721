import {createHash} from 'node:crypto';

const BLOCK_CHARACTERS = 256;
const HASH_CHARACTERS = 16;
const MAX_BLOCKS = 256;

/**
 * Computes chained hashes of a prompt's complete blocks, longest prefix last; a
 * trailing partial block is ignored. Engines identify their cached prefixes by
 * these hashes in cache events.
 */
export function createPrefixHashes(prompt: string): string[] {
  const blocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const hashes: string[] = [];
  let previous = '';
  for (let block = 0; block < Math.min(blocks, MAX_BLOCKS); block++) {
    const start = block * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    const hash = createHash('sha256').update(previous).update(text);
    previous = hash.digest('hex').slice(0, HASH_CHARACTERS);
    hashes.push(previous);
  }
  return hashes;
}
