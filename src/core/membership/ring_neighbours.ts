import type {NodeId} from '../ids/index.js';
import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {resolveRing} from './resolve_ring.js';

interface Neighbours {
  /** Get this node's heartbeats. */
  readonly after: readonly NodeId[];
  /** Send theirs to this node. */
  readonly before: readonly NodeId[];
}

/** This node's neighbours in the ring of live nodes. */
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
