import type {LoadDigest, ServingState} from '../types.js';

/**
 * Whether this node uses a digest. Without relays it uses those of single nodes;
 * a relay uses those of nodes of its zone and the summaries of other zones; any other
 * node uses only its relay's summary of the fleet. So no request is counted twice.
 */
export function acceptsDigest(
  {zone, exchange}: ServingState,
  digest: LoadDigest,
): boolean {
  if (!exchange.isRelayed) return digest.scope === 'node';
  const isOwnZone = digest.zone === zone;
  if (exchange.relayRank < 0) return digest.scope === 'fleet' && isOwnZone;
  return digest.scope === (isOwnZone ? 'node' : 'zone');
}
