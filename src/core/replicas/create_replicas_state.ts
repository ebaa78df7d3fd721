import type {ReplicasState} from './replicas_state.js';
import {createPrefixWatch} from './create_prefix_watch.js';

/** Creates the state of a node that has read no document and holds no stewardship. */
export function createReplicasState(): ReplicasState {
  return {
    documents: new Map(),
    confirmedAtMs: -Infinity,
    targetsByDomain: new Map(),
    documentWatch: createPrefixWatch('domains/'),
    stewardWatch: createPrefixWatch('stewards/'),
    vacantSinceMs: new Map(),
    lease: {safeUntilMs: 0, sentAtMs: 0, nextAtMs: 0},
    stewardships: new Map(),
    wantedSinceMs: new Map(),
    lackingSinceMs: new Map(),
    actions: [],
    loadQueue: [],
    planner: 'deficit-first',
    reconciledAtMs: 0,
    plannedAtMs: 0,
  };
}
