import type {ServingState, ServingTarget} from '../types.js';
import {isSignOverdue} from './is_sign_overdue.js';
import {promptTimeMs} from './prompt_time_ms.js';

/** A pass with a prompt takes longer than one without. */
const MIN_SILENT_MS = 100;
/** Requests that a target takes in the usual time to its first sign. */
const MAX_UNHEARD = 3;

/** Whether a target has said nothing, to this node or to its peers, since a sign of it was due. */
export function isTargetSilent(
  state: ServingState,
  target: ServingTarget,
  nowMs: number,
): boolean {
  const {targetLoads, peerLoads} = state;
  const {vmId} = target;
  const load = targetLoads.get(vmId);
  if (!load) return false;
  const peers = peerLoads.get(vmId);
  return isSignOverdue(
    load,
    {
      peersHeardAtMs: peers?.progressAtMs ?? -Infinity,
      minMs: MIN_SILENT_MS,
      extraMs: promptTimeMs(state, target),
      maxUnheard: MAX_UNHEARD,
    },
    nowMs,
  );
}
