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
import {fleetFaultArbitrary, scheduleFaults} from '../../support/fleet_faults.js';
import {makeId} from '../../../src/core/ids/index.js';
import {propertyOptions} from '../../support/property_options.js';
import {reduce} from '../../../src/core/reduce.js';

const SEED = 17;
const RUNS = 10;
const SPAN_MS = 20_000;
const STEP_MS = 500;
const SERVICE = {name: 'chat', replicas: 2, vmsPerReplica: 2};

/** Calls every area at every event. */
function reduceAll(state: NodeState, event: NodeEvent): Effect[] {
  const step: Step = {state, nowMs: event.nowMs, effects: []};
  for (const area of AREAS) area.reduce(step, event);
  dispatchQueued(step);
  return step.effects;
}

/** Keeps the events that a node applies. */
function record(world: FleetWorld, node: VirtualNode): NodeEvent[] {
  const events: NodeEvent[] = [];
  const dispatch = node.dispatch.bind(node);
  node.dispatch = event => {
    if (node.isRunning) events.push({...event, nowMs: world.nowMs});
    dispatch(event);
  };
  return events;
}

/** Gives a new node's state the configuration and peers of the world. */
function prepare(state: NodeState, world: FleetWorld): NodeState {
  const [, ...others] = world.nodes;
  state.config.document = others[0]!.state.config.document;
  for (const {state: other} of others) {
    state.membership.peers.set(other.self.nodeId, createPeer(other.self));
  }
  return state;
}

/** Puts a node in the place of the first one, with all its events recorded. */
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

/** Event types that a reducer names. */
function namedTypes(reducer: unknown): string[] {
  const names = /case '(\w+)':|event\.type [!=]== '(\w+)'/g;
  const found = [...String(reducer).matchAll(names)];
  return found.map(([, first, second]) => first ?? second!).sort();
}

it('an area is called for exactly the types of event that its reducer names', () => {
  const limited = AREAS.filter(({types}) => types !== undefined);
  assert.ok(limited.length > 0);
  for (const {reduce: reducer, types} of limited) {
    assert.deepEqual([...types!].sort(), namedTypes(reducer), reducer.name);
  }
});

it('the areas chosen by the type of an event do all that the whole list of areas does', () => {
  const seen = new Set<string>();
  const schedule = fc.record({faults: fleetFaultArbitrary(SPAN_MS), seed: fc.nat(999)});
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
      const chosen = createState();
      const whole = createState();
      for (const event of events) {
        seen.add(event.type);
        assert.deepEqual(reduce(chosen, event), reduceAll(whole, event));
      }
    }),
    propertyOptions(RUNS, SEED),
  );
  const kinds = ['tick', 'storeResult', 'targetReported', 'peerExchanged'];
  for (const type of [...kinds, 'requestArrived', 'attemptEnded']) {
    assert.ok(seen.has(type), `no event ${type} was recorded`);
  }
});
