import type {LoadDigest, ServingState} from '../types.js';

/** A relay's sum without the loads of this node, which it holds as they were told. */
export function withoutOwn(
  {exchange}: ServingState,
  digest: LoadDigest,
): LoadDigest {
  const {countedSentAtMs} = digest;
  if (digest.scope !== 'fleet' || countedSentAtMs === undefined) return digest;
  const own = exchange.told.get(countedSentAtMs);
  if (!own || own.length === 0) return digest;
  const ownByVm = new Map(own.map(load => [load.vmId, load]));
  const loads = digest.loads.map(load => {
    const mine = ownByVm.get(load.vmId);
    if (!mine) return load;
    return {
      ...load,
      inFlight: Math.max(0, load.inFlight - mine.inFlight),
      unreadTokens: Math.max(0, load.unreadTokens - mine.unreadTokens),
    };
  });
  return {...digest, loads};
}
