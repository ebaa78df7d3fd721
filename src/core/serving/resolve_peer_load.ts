import type {PeerLoad, ServingState} from './types.js';
import type {VmId} from '../ids/index.js';

/** Returns the summed load of peers at a target, and creates the record if there is none. */
export function resolvePeerLoad(state: ServingState, vmId: VmId): PeerLoad {
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
