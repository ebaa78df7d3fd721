import type {LoadDigest, PeerKey} from './types.js';

/** Under what a digest is kept: a later one that counts the same requests replaces it. */
export function peerKey({scope, from, zone}: LoadDigest): PeerKey {
  if (scope === 'node') return from;
  return scope === 'zone' ? `zone/${zone}` : 'fleet';
}
