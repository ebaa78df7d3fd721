import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {NodeState} from '../../src/core/state/types.js';
import {createNodeState} from '../../src/core/state/index.js';
import {createPeer} from '../../src/replay/create_peer.js';
import {installFleet} from '../../src/replay/load/install_fleet.js';
import {makeId, type NodeId} from '../../src/core/ids/index.js';

interface MemoryCost {
  readonly peerBytes: number;
  readonly targetBytes: number;
  readonly serviceBytes: number;
}

const COUNT = 5000;
const SERVICE_TEXT_BYTES = 600;

/** Measures the heap that each peer, target and service occupies in a node's state. */
export function measureMemory(): MemoryCost {
  setFlagsFromString('--expose_gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const measureHeap = (fill: (state: NodeState) => void): number => {
    const state = createState();
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    fill(state);
    collectGarbage();
    const after = process.memoryUsage().heapUsed;
    if (state.idCounter < 0) throw new Error('keeps the state alive');
    return (after - before) / COUNT;
  };
  return {
    peerBytes: measureHeap(addPeers),
    targetBytes: measureHeap(addTargets),
    serviceBytes: measureHeap(addServices),
  };
}

function addPeers(state: NodeState): void {
  for (let at = 0; at < COUNT; at++) {
    const nodeId = makeId<NodeId>(`node-${at}`);
    const callerAddress = `10.0.${at >> 8}.${at & 255}:8080`;
    const controlAddress = `10.0.${at >> 8}.${at & 255}:8081`;
    const peer = createPeer({nodeId, callerAddress, controlAddress});
    state.membership.peers.set(nodeId, peer);
  }
}

function addTargets(state: NodeState): void {
  const engine = {
    slots: 8,
    tokenMs: 20,
    batchCost: 0,
    prefillMsPerToken: 0,
    cachedPrefixes: 0,
  };
  installFleet(state, {
    nodes: 1,
    services: [{name: 'chat', kind: 'model', engines: COUNT, engine}],
    organisations: [],
    stragglers: [],
    refusers: [],
    reportIntervalMs: 0,
    reportLagMs: 0,
    crestFromMs: 0,
    crestUntilMs: 0,
  });
}

function addServices(state: NodeState): void {
  const filler = 'x'.repeat(SERVICE_TEXT_BYTES);
  for (let at = 0; at < COUNT; at++) {
    const digest = String(at).padStart(32, '0');
    const text = Buffer.from(filler + at).toString(); // copied, so that the strings share no memory
    state.config.texts.set(`service/s${at}`, {text, digest, revision: at});
  }
}

function createState(): NodeState {
  const roles = {
    entry: true,
    relay: true,
    observer: false,
    broker: false,
    steward: false,
  };
  return createNodeState(
    {
      nodeId: makeId('node'),
      incarnation: makeId('node/1'),
      zone: makeId('zone'),
      region: 'region',
      callerAddress: '',
      controlAddress: '',
      roles,
    },
    1,
  );
}
