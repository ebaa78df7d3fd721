import type {ServingState, ServingTarget} from './types.js';
import {countPeersWithoutDigest} from './count_peers_without_digest.js';
import {expectedPassMs} from './expected_pass_ms.js';
import {isSlow} from './is_slow.js';
import {resolveTargetLoad} from './resolve_target_load.js';

/** Assumed time until a slot of a full target is free; a rough value that only ranks full targets. */
const TYPICAL_SLOT_HOLD_MS = 900;

interface FirstEventEstimate {
  /** Time to the first event of a request that is sent now. */
  readonly firstEventMs: number;
  /** Requests of all nodes at the target, from this node's counters and peers' digests. */
  readonly inFlight: number;
  readonly unreadTokens: number;
}

/**
 * Estimates the time to the first event at a target, from its published cost model
 * and the requests that all nodes have in flight there.
 *
 * A target processes prompts in order of arrival between the steps of running
 * streams, so a request waits for the unprocessed tokens ahead of it and one pass,
 * and in addition for a free slot if there is none.
 */
export function estimateFirstEventMs(
  state: ServingState,
  target: ServingTarget,
  promptTokens: number,
  nowMs: number,
): FirstEventEstimate {
  const own = resolveTargetLoad(state, target.vmId);
  const peers = state.peerLoads.get(target.vmId);
  // Nodes that start together receive similar traffic, so until a peer's first
  // digest arrives, it is assumed to have sent as much to the target as this node.
  const nodeFactor = 1 + countPeersWithoutDigest(state, nowMs);
  const inFlight = nodeFactor * own.inFlight + (peers?.inFlight ?? 0);
  const unreadTokens =
    nodeFactor * own.unreadTokens + (peers?.unreadTokens ?? 0);
  const excessRequests = Math.max(0, inFlight + 1 - target.slotCount);
  const {costs} = target;
  if (!costs) {
    // Without a cost model the result only ranks targets by load; it is not a time.
    const queueMs = (excessRequests * TYPICAL_SLOT_HOLD_MS) / target.slotCount;
    return {firstEventMs: inFlight + queueMs, inFlight, unreadTokens};
  }
  const passMs = expectedPassMs(target, inFlight + 1);
  const readMs = (unreadTokens + promptTokens) / costs.readTokensPerMs;
  const queueMs = (excessRequests * TYPICAL_SLOT_HOLD_MS) / target.slotCount;
  const slowdownFactor = isSlow(own) ? own.gapRatio : 1;
  return {
    firstEventMs: slowdownFactor * (passMs + target.pace * (readMs + queueMs)),
    inFlight,
    unreadTokens,
  };
}
