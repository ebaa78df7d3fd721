import type {LoadDigest, ServingState} from '../types.js';
import {decayCount} from '../rate_limits/index.js';

/** Subtracts this node's own loads from a relay's summary, as they were in the digest that the summary includes. Returns other digests unchanged. */
export function subtractOwnLoads(
  {exchange}: ServingState,
  digest: LoadDigest,
  nowMs: number,
): LoadDigest {
  const {countedSentAtMs} = digest;
  if (digest.scope !== 'fleet' || countedSentAtMs === undefined) return digest;
  const own = exchange.sentLoads.get(countedSentAtMs);
  if (!own || own.length === 0) return digest;
  const ownByVm = new Map(own.map(load => [load.vmId, load]));
  const loads = digest.loads.map(load => {
    const ownLoad = ownByVm.get(load.vmId);
    if (!ownLoad) return load;
    return {
      ...load,
      inFlight: Math.max(0, load.inFlight - ownLoad.inFlight),
      unreadTokens: Math.max(0, load.unreadTokens - ownLoad.unreadTokens),
      ...(load.recentSends === undefined
        ? {}
        : {
            recentSends: Math.max(
              0,
              load.recentSends -
                decayCount(ownLoad.recentSends ?? 0, nowMs - countedSentAtMs),
            ),
          }),
    };
  });
  return {...digest, loads};
}
