import type {LoadDigest, PeerKey} from './types.js';

/** Key under which a digest is stored; a later digest that covers the same nodes replaces it. */
export function peerKey({scope, from, zone}: LoadDigest): PeerKey {
  if (scope === 'node') return from;
  return scope === 'zone' ? `zone/${zone}` : 'fleet';
}
