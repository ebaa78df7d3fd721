import type {NodeId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {createStanding} from './create_standing.js';
import {isFullMesh} from './is_full_mesh.js';
import {ringNeighbours} from './ring_neighbours.js';

/** Sends this node's heartbeat when it is due. */
export function sendHeartbeats(step: Step): void {
  const {membership} = step.state;
  if (step.nowMs < membership.nextHeartbeatAtMs) return;
  membership.nextHeartbeatAtMs =
    step.nowMs + MEMBERSHIP_TIMING.heartbeatIntervalMs;
  updateMonitored(step);
  membership.sequence += 1;
  const standing = createStanding(step.state, step.nowMs);
  for (const to of chooseReceivers(step)) {
    const heardSequence = membership.peers.get(to)?.sequence ?? 0;
    step.effects.push({
      type: 'peerSend',
      to,
      message: {type: 'membership.heartbeat', standing, heardSequence},
      urgent: true,
    });
  }
}

/** Suspected peers receive heartbeats too, so that the end of a network partition is detected. */
function chooseReceivers(step: Step): readonly NodeId[] {
  const {state, nowMs} = step;
  const all = [...state.membership.peers.keys()];
  if (isFullMesh(state)) return all;
  const {after} = ringNeighbours(state, nowMs);
  const suspected = all.filter(
    id => state.membership.peers.get(id)!.suspectedAtMs !== undefined,
  );
  if (suspected.length === 0) return after;
  return [...after, suspected[state.random.nextInt(suspected.length)]!];
}

/** Updates the set of peers whose heartbeats this node monitors. */
function updateMonitored(step: Step): void {
  const {state, nowMs} = step;
  const {membership} = state;
  if (isFullMesh(state)) {
    membership.monitored = [];
    for (const peer of membership.peers.values()) {
      peer.monitoredSinceMs ??= nowMs;
      delete peer.suspectedAtMs;
    }
    return;
  }
  const {before} = ringNeighbours(state, nowMs);
  const wanted = new Set(before);
  for (const peer of membership.peers.values()) {
    if (wanted.has(peer.nodeId)) peer.monitoredSinceMs ??= nowMs;
    else delete peer.monitoredSinceMs;
  }
  membership.monitored = before;
}
