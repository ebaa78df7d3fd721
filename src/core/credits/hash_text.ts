const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX = 0x85ebca6b;

/** A 32-bit hash, equal on all nodes; spreads, and protects nothing. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX);
  return (hash ^ (hash >>> 13)) >>> 0;
}
