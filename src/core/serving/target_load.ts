import type {ServingState, TargetLoad} from './types.js';
import type {VmId} from '../ids/index.js';

/** Returns this node's load record of a target, and creates it if there is none. */
export function targetLoad(state: ServingState, vmId: VmId): TargetLoad {
  let load = state.loads.get(vmId);
  if (!load) {
    load = {
      inFlight: 0,
      unreadTokens: 0,
      progressAtMs: -Infinity,
      suspectUntilMs: -Infinity,
      failuresInRow: 0,
      slowness: 1,
      pauseCount: 0,
    };
    state.loads.set(vmId, load);
  }
  return load;
}
