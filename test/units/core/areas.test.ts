import assert from 'node:assert/strict';
import fc from 'fast-check';
import {it} from 'node:test';
import type {Effect} from '../../../src/core/effects/types.js';
import type {Incarnation} from '../../../src/core/ids/index.js';
import type {NodeEvent} from '../../../src/core/events/types.js';
import type {NodeState, Step} from '../../../src/core/state/types.js';
import type {VirtualNode} from '../../../src/replay/index.js';
import {AREAS} from '../../../src/core/areas.js';
import {FleetWorld} from '../../../src/replay/fleet/index.js';
import {createPeer} from '../../../src/replay/create_peer.js';
import {createNodeState} from '../../../src/core/state/index.js';
import {dispatchQueued} from '../../../src/core/requests/index.js';
import {
  fleetFaultArbitrary,
  scheduleFaults,
} from '../../support/fleet_faults.js';
import {makeId} from '../../../src/core/ids/index.js';
import {propertyOptions} from '../../support/property_options.js';
import {reduce} from '../../../src/core/reduce.js';

const SEED = 17;
const RUNS = 10;
const SPAN_MS = 20_000;
const STEP_MS = 500;
const SERVICE = {name: 'chat', replicas: 2, vmsPerReplica: 2};

/** Calls every area for an event, whatever types it declares. */
function reduceAll(state: NodeState, event: NodeEvent): Effect[] {
  const step: Step = {state, nowMs: event.nowMs, effects: []};
  for (const area of AREAS) area.reduce(step, event);
  dispatchQueued(step);
  return step.effects;
}

/** Records the events that a running node applies, with their times. */
function record(world: FleetWorld, node: VirtualNode): NodeEvent[] {
  const events: NodeEvent[] = [];
  const dispatch = node.dispatch.bind(node);
  node.dispatch = event => {
    if (node.isRunning) events.push({...event, nowMs: world.nowMs});
    dispatch(event);
  };
  return events;
}

/** Copies the configuration and the peers of the world into the state of a new node. */
function prepare(state: NodeState, world: FleetWorld): NodeState {
  const [, ...others] = world.nodes;
  state.config.document = others[0]!.state.config.document;
  for (const {state: other} of others) {
    state.membership.peers.set(other.self.nodeId, createPeer(other.self));
  }
  return state;
}

/** Replaces the first node by a new one whose events are all recorded. */
function startRecorded(world: FleetWorld, seed: number) {
  const [first] = world.nodes;
  first!.kill();
  const incarnation = makeId<Incarnation>('recorded');
  const node = world.world.addNode({...first!.state.self, incarnation}, seed);
  prepare(node.state, world);
  world.nodes[0] = node;
  const events = record(world, node);
  node.start();
  return {node, events};
}

/** Event types that a reducer's source handles in `case` labels or comparisons. */
function namedTypes(reducer: unknown): string[] {
  const names = /case '(\w+)':|event\.type [!=]== '(\w+)'/g;
  const found = [...String(reducer).matchAll(names)];
  return found.map(([, first, second]) => first ?? second!).sort();
}

it('an area declares exactly the event types that its reducer handles', () => {
  const limited = AREAS.filter(({types}) => types !== undefined);
  assert.ok(limited.length > 0);
  for (const {reduce: reducer, types} of limited) {
    assert.deepEqual([...types!].sort(), namedTypes(reducer), reducer.name);
  }
});

it('calling only the areas selected by event type gives the same effects as calling all areas', () => {
  const seen = new Set<string>();
  const schedule = fc.record({
    faults: fleetFaultArbitrary(SPAN_MS),
    seed: fc.nat(999),
  });
  fc.assert(
    fc.property(schedule, ({faults, seed}) => {
      const size = {nodes: 3, domains: 2, vmsPerDomain: 3};
      const world = new FleetWorld({...size, seed, services: [SERVICE]});
      const {node, events} = startRecorded(world, seed);
      scheduleFaults(world, faults);
      world.watch(SPAN_MS, STEP_MS, () => world.request(node, 'chat'));
      node.dispatch({type: 'drainRequested', reason: 'test'});
      world.run(STEP_MS);
      const {self} = node.state;
      const createState = () => prepare(createNodeState(self, seed), world);
      const selected = createState();
      const all = createState();
      for (const event of events) {
        seen.add(event.type);
        assert.deepEqual(reduce(selected, event), reduceAll(all, event));
      }
    }),
    propertyOptions(RUNS, SEED),
  );
  const kinds = ['tick', 'storeResult', 'targetReported', 'peerExchanged'];
  for (const type of [...kinds, 'requestArrived', 'attemptEnded']) {
    assert.ok(seen.has(type), `no event ${type} was recorded`);
  }
});
