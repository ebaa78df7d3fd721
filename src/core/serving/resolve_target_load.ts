import type {ServingState, TargetLoad} from './types.js';
import type {VmId} from '../ids/index.js';
import {createSignRecord} from './silence/create_sign_record.js';

/** Returns this node's load record of a target, and creates it if there is none. */
export function resolveTargetLoad(state: ServingState, vmId: VmId): TargetLoad {
  let load = state.targetLoads.get(vmId);
  if (!load) {
    load = {
      ...createSignRecord(),
      unstartedCount: 0,
      unreadTokens: 0,
      progressAtMs: -Infinity,
      suspectUntilMs: -Infinity,
      consecutiveFailures: 0,
      closedAtMs: -Infinity,
      brokenAtMs: -Infinity,
      gapRatio: 1,
      gapCount: 0,
    };
    state.targetLoads.set(vmId, load);
  }
  return load;
}
