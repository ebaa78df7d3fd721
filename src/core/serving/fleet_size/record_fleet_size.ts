import type {ServingStep} from '../types.js';
import {countKnownNodes} from './count_known_nodes.js';
import {logDecision} from '../log_decision.js';
import {resolveFleetSize} from './resolve_fleet_size.js';

/** Length of a period. A node that stopped is still registered for its lease, and the registry is read twice a minute. */
const PERIOD_MS = 60_000;
/** A registered node whose last digest is older is silent. */
const MAX_CONTACT_AGE_MS = 5000;

/** Updates the number of nodes in the fleet from the nodes that are known now. */
export function recordFleetSize(step: ServingStep): void {
  const {state, nowMs} = step;
  const {fleetSize} = state;
  const before = resolveFleetSize(state);
  const count = countKnownNodes(state, nowMs);
  const isOver = nowMs - fleetSize.periodStartMs >= PERIOD_MS;
  // Nodes that are registered but silent may serve on the other side of a partition.
  if (isOver && !hasSilentNode(step)) {
    fleetSize.previousPeakCount = fleetSize.peakCount;
    fleetSize.peakCount = count;
    fleetSize.periodStartMs = nowMs;
  }
  fleetSize.peakCount = Math.max(fleetSize.peakCount, count);
  const after = resolveFleetSize(state);
  if (after === before) return;
  logDecision(step, 'info', 'peers', 'fleet size', {
    nodes: after,
    before,
    heard: state.peers.size,
    registered: state.exchange.registeredNodes.size,
  });
}

function hasSilentNode({state, nowMs}: ServingStep): boolean {
  const {registeredNodes, contacts} = state.exchange;
  for (const nodeId of registeredNodes.keys()) {
    if (nodeId === state.nodeId) continue;
    const atMs = contacts.get(nodeId)?.atMs ?? -Infinity;
    if (nowMs - atMs > MAX_CONTACT_AGE_MS) return true;
  }
  return false;
}
