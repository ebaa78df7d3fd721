import type {NodeId} from '../src/core/ids/index.js';
import type {NodeState} from '../src/core/state/types.js';
import {createNodeState} from '../src/core/state/index.js';
import {installFleet} from '../src/replay/load/install_fleet.js';
import {makeId} from '../src/core/ids/index.js';

const ROLES = {
  entry: true,
  relay: false,
  observer: false,
  broker: true,
  steward: false,
};
const ENGINE = {
  slots: 8,
  tokenMs: 20,
  batchCost: 0,
  prefillMsPerToken: 0,
  cachedPrefixes: 0,
};

interface BenchNodeOptions {
  /** Number of nodes in the fleet, including this one. */
  readonly nodes: number;
  /** Number of targets of the single service, `chat`. */
  readonly targets: number;
}

/** Creates the state of a node with its peers and the targets of one service. */
export function createBenchNode({nodes, targets}: BenchNodeOptions): NodeState {
  const state = createNodeState(
    {
      nodeId: makeId<NodeId>('node-0'),
      incarnation: makeId('node-0/1'),
      zone: makeId('zone-0'),
      region: 'region',
      callerAddress: '',
      controlAddress: '',
      roles: ROLES,
    },
    1,
  );
  installFleet(state, {
    nodes,
    services: [{name: 'chat', kind: 'model', engines: targets, engine: ENGINE}],
    organisations: [{name: 'large', weight: 1}],
    stragglers: [],
    refusers: [],
    reportIntervalMs: 500,
    reportLagMs: 100,
    crestFromMs: 0,
    crestUntilMs: 0,
  });
  return state;
}
