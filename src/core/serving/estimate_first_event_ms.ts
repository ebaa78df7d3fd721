import type {ServingState, ServingTarget} from './types.js';
import {countUnheardPeers} from './count_unheard_peers.js';
import {expectedPassMs} from './expected_pass_ms.js';
import {isSlow} from './is_slow.js';
import {targetLoad} from './target_load.js';

/** Time that a slot stays taken, where a target has none free; a guess that only orders full targets. */
const USUAL_HOLD_MS = 900;

interface FirstEventEstimate {
  /** Until the first event of a request that is sent now. */
  readonly firstMs: number;
  /** Requests of all nodes at the target, as far as known. */
  readonly inFlight: number;
  readonly unreadTokens: number;
}

/**
 * Estimates how soon a target answers, from its published costs and what all
 * nodes have in flight there.
 *
 * Prompts are read in the order of arrival between the steps of running
 * streams, so the unread tokens ahead and one pass are what a request waits
 * for; without a free slot it waits for one besides.
 */
export function estimateFirstEventMs(
  state: ServingState,
  target: ServingTarget,
  promptTokens: number,
  nowMs: number,
): FirstEventEstimate {
  const own = targetLoad(state, target.vmId);
  const peers = state.peerLoads.get(target.vmId);
  // Nodes that start together get the same callers: what one has sent to a
  // target, each of the others is taken to have sent too until it is heard.
  const shares = 1 + countUnheardPeers(state, nowMs);
  const inFlight = shares * own.inFlight + (peers?.inFlight ?? 0);
  const unreadTokens = shares * own.unreadTokens + (peers?.unreadTokens ?? 0);
  const excess = Math.max(0, inFlight + 1 - target.slotCount);
  const {costs} = target;
  if (!costs) {
    // No costs are published: the load alone orders the targets, in no unit.
    const queueMs = (excess * USUAL_HOLD_MS) / target.slotCount;
    return {firstMs: inFlight + queueMs, inFlight, unreadTokens};
  }
  const passMs = expectedPassMs(target, inFlight + 1);
  const readMs = (unreadTokens + promptTokens) / costs.readTokensPerMs;
  const queueMs = (excess * USUAL_HOLD_MS) / target.slotCount;
  const slowness = isSlow(own) ? own.slowness : 1;
  return {
    firstMs: slowness * (passMs + target.pace * (readMs + queueMs)),
    inFlight,
    unreadTokens,
  };
}
