const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a text to a number in (0, 1); the result is the same on all nodes. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  // FNV alone maps texts that differ only in their last letters to close values.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash ^= hash >>> 16;
  return ((hash >>> 0) + 1) / 0x100000002;
}
