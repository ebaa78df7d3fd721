import type {NodeId, OperationId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isCallInFlight} from './is_call_in_flight.js';
import {isStoreUp} from './is_store_up.js';
import {livePeers} from './live_peers.js';
import {nextId} from '../state/index.js';
import {seedPeers} from './seed_peers.js';

const JOIN_TIMEOUT_MS = 1000;

/** While the store is down, a starting node requests the list of nodes from a live peer or a seed peer. */
export function joinPeers(step: Step): void {
  const {state, nowMs} = step;
  const {membership, self} = state;
  if (membership.hasView || isStoreUp(state, nowMs)) return;
  if (nowMs < membership.nextJoinAtMs || isCallInFlight(state, 'join')) return;
  membership.nextJoinAtMs = nowMs + MEMBERSHIP_TIMING.joinIntervalMs;
  const to = choosePeer(step);
  if (to === undefined) return;
  const callId = nextId<OperationId>(step, 'join');
  membership.calls.set(callId, {purpose: 'join', sentAtMs: nowMs});
  step.effects.push({
    type: 'peerAsk',
    area: 'membership',
    to,
    callId,
    timeoutMs: JOIN_TIMEOUT_MS,
    message: {type: 'membership.join', nodeId: self.nodeId},
  });
}

function choosePeer(step: Step): NodeId | undefined {
  const {state, nowMs} = step;
  const live = livePeers(state, nowMs).map(peer => peer.nodeId);
  const seeds = seedPeers(state).map(seed => seed.nodeId);
  const candidates = [...live, ...seeds];
  if (candidates.length === 0) return undefined;
  return candidates[state.random.nextInt(candidates.length)];
}
