import type {NodeId} from '../ids/index.js';
import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {resolveRing} from './resolve_ring.js';

interface Neighbours {
  /** Nodes to which this node sends heartbeats. */
  readonly after: readonly NodeId[];
  /** Nodes whose heartbeats this node receives. */
  readonly before: readonly NodeId[];
}

/** Finds this node's neighbours on either side in the ring of live nodes. */
export function ringNeighbours(state: NodeState, nowMs: number): Neighbours {
  const ring = resolveRing(state, nowMs);
  const at = ring.indexOf(state.self.nodeId);
  const count = Math.min(MEMBERSHIP_TIMING.partners, ring.length - 1);
  const steps = Array.from({length: count}, (_, step) => step + 1);
  const pick = (offset: number) =>
    ring[(at + offset + ring.length) % ring.length]!;
  return {
    after: steps.map(pick),
    before: steps.map(step => pick(-step)),
  };
}
