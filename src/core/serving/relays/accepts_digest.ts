import type {LoadDigest, ServingState} from '../types.js';

/** Whether a digest counts requests that no other which this node takes counts too. */
export function acceptsDigest(
  {zone, exchange}: ServingState,
  digest: LoadDigest,
): boolean {
  if (!exchange.isRelayed) return digest.scope === 'node';
  const isOwnZone = digest.zone === zone;
  if (exchange.relayRank < 0) return digest.scope === 'fleet' && isOwnZone;
  return digest.scope === (isOwnZone ? 'node' : 'zone');
}
