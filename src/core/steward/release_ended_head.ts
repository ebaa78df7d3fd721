import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {releaseReplica} from './release_replica.js';

/** Frees the members of replicas that are being dissolved and whose head's process has ended. */
export function releaseEndedHead(
  step: ServingStep,
  vmId: VmId,
  bornAtMs: number | undefined,
): void {
  for (const track of [...step.state.steward.tracks.values()]) {
    if (track.members[0] !== vmId || track.phase !== 'leaving') continue;
    if (track.bornAtMs.get(vmId) !== bornAtMs) continue;
    // A leaving head refuses connections while it still finishes its requests.
    if (track.isHeadLeaving && !track.isClosed) continue;
    releaseReplica(step, track, 'the head process has ended');
  }
}
