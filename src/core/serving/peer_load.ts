import type {PeerLoad, ServingState} from './types.js';
import type {VmId} from '../ids/index.js';

/** What peers have in flight at a target, made when first asked for. */
export function peerLoad(state: ServingState, vmId: VmId): PeerLoad {
  let load = state.peerLoads.get(vmId);
  if (!load) {
    load = {
      inFlight: 0,
      unreadTokens: 0,
      progressAtMs: -Infinity,
      suspectUntilMs: -Infinity,
      slowUntilMs: -Infinity,
    };
    state.peerLoads.set(vmId, load);
  }
  return load;
}
