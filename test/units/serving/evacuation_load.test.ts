import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServingState} from '../../../src/core/serving/types.js';
import type {ZoneId} from '../../../src/core/ids/index.js';
import {ServingWorld, sendLoad} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';
import {makeId} from '../../../src/core/ids/index.js';

const ASSEMBLY_MS = 6000;
const EVACUATE_MS = 5000;
const LOAD_MS = 14_000;
/** After the start of the load. */
const EVACUATION_MS = 3000;
const ZONES = ['zone-0', 'zone-1', 'zone-2'];
/** Nodes from which a zone has relays. */
const RELAYED_NODES = 36;

/** Three zones with a fabric domain each, under load. */
function createWorld(nodeCount = 6): ServingWorld {
  const world = new ServingWorld({
    seed: 5,
    nodeCount,
    domainCount: 3,
    domainSize: 11,
    coreCountOf: at => (at < 6 ? 1.35 : 0.3),
    zoneOfDomain: domain => `zone-${domain.slice(1)}`,
    bounds: {evacuateMs: EVACUATE_MS},
  });
  world.runFor(ASSEMBLY_MS);
  sendLoad(world, createRandom(3), {
    durationMs: LOAD_MS,
    requestsPerS: () => 20,
  });
  return world;
}

/** Requests that reached engines of a zone from `fromMs` on. */
function countArrivals(
  {network, engines}: ServingWorld,
  zone: string,
  fromMs: number,
): number {
  return network.arrivals.filter(
    ({vmId, atMs}) => atMs >= fromMs && engines.get(vmId)!.record.zone === zone,
  ).length;
}

/** Evacuates zones under load, and returns when. */
function evacuate(world: ServingWorld, ...zones: string[]): number {
  world.runFor(EVACUATION_MS);
  world.evacuations.evacuate(...zones);
  return world.nowMs;
}

function knows({evacuation}: ServingState, zone: string): boolean {
  return evacuation.zones.has(makeId<ZoneId>(zone));
}

function countOpenHeads({engines}: ServingWorld, zone: string): number {
  return [...engines.values()].filter(
    ({isServing, record}) => isServing && record.zone === zone,
  ).length;
}

describe('evacuation of a zone under load', () => {
  it('sends nothing to the zone after the bound, and to the others what arrives', () => {
    const world = createWorld();
    const atMs = evacuate(world, 'zone-1');
    const heads = countOpenHeads(world, 'zone-1');
    assert.ok(countArrivals(world, 'zone-1', 0) > 0);
    world.runFor(LOAD_MS);
    assert.equal(countArrivals(world, 'zone-1', atMs + EVACUATE_MS), 0);
    assert.ok(countArrivals(world, 'zone-0', atMs + EVACUATE_MS) > 20);
    assert.ok(countArrivals(world, 'zone-2', atMs + EVACUATE_MS) > 20);
    // Its replicas stay assembled.
    assert.equal(countOpenHeads(world, 'zone-1'), heads);
    assert.deepEqual(world.violations, []);
    const failed = world.outcomes.filter(({result}) => result !== 'whole');
    assert.equal(failed.length, 0);
  });

  it('reaches all nodes of a fleet with relays, with no more watches than one for each zone', () => {
    const world = createWorld(RELAYED_NODES);
    const atMs = evacuate(world, 'zone-1');
    world.runFor(1000);
    const {callCount} = world.evacuations;
    world.runFor(LOAD_MS - 1000);
    const calls = world.evacuations.callCount - callCount;
    assert.ok(world.nodes.every(({state}) => knows(state, 'zone-1')));
    assert.equal(countArrivals(world, 'zone-1', atMs + EVACUATE_MS), 0);
    // Each zone's first relay has a call answered every 1.5 s.
    const watches = Math.ceil((LOAD_MS - 1000) / 1500) * ZONES.length;
    assert.ok(calls <= watches, `${calls} calls, ${watches} expected`);
  });

  it('holds for several zones', () => {
    const world = createWorld();
    const atMs = evacuate(world, 'zone-0', 'zone-1');
    world.runFor(LOAD_MS);
    assert.equal(countArrivals(world, 'zone-0', atMs + EVACUATE_MS), 0);
    assert.equal(countArrivals(world, 'zone-1', atMs + EVACUATE_MS), 0);
    assert.ok(countArrivals(world, 'zone-2', atMs + EVACUATE_MS) > 20);
  });

  it('refuses everything at once when all zones are evacuated, and keeps all replicas', () => {
    const world = createWorld();
    const atMs = evacuate(world, ...ZONES);
    const heads = ZONES.map(zone => countOpenHeads(world, zone));
    world.runFor(LOAD_MS);
    for (const zone of ZONES) {
      assert.equal(countArrivals(world, zone, atMs + EVACUATE_MS), 0);
    }
    assert.deepEqual(
      ZONES.map(zone => countOpenHeads(world, zone)),
      heads,
    );
    const late = world.outcomes.filter(
      ({arrivedAtMs}) => arrivedAtMs >= atMs + EVACUATE_MS,
    );
    assert.ok(late.length > 20);
    assert.ok(late.every(({refusalCount}) => refusalCount > 0));
  });

  it('sends no stream beside a silent one to the zone', () => {
    const world = createWorld();
    const atMs = evacuate(world, 'zone-1');
    const heads = [...world.engines].filter(
      ([, {isServing, record}]) => isServing && record.zone !== 'zone-2',
    );
    world.pauseEngines(
      heads.map(([vmId]) => vmId),
      1500,
    );
    world.runFor(LOAD_MS);
    const moves = world.logs.filter(line =>
      line.includes('stream sent beside a silent target'),
    );
    assert.ok(moves.length > 0);
    assert.equal(countArrivals(world, 'zone-1', atMs + 1000), 0);
  });

  it('stays in force while the store is down, also at a node that starts meanwhile', () => {
    const world = createWorld();
    const atMs = evacuate(world, 'zone-1');
    world.runFor(1000);
    world.evacuations.isUnavailable = true;
    world.restartNode(4, 500);
    world.runFor(2000);
    assert.ok(knows(world.nodes[4]!.state, 'zone-1'));
    world.runFor(LOAD_MS - 3000);
    assert.equal(countArrivals(world, 'zone-1', atMs + EVACUATE_MS), 0);
    const restartedAtMs = atMs + 1500;
    assert.equal(countArrivals(world, 'zone-1', restartedAtMs), 0);
  });

  it('stays in force at a node that is cut off from the store and its peers', () => {
    const world = createWorld();
    evacuate(world, 'zone-1');
    world.runFor(1000);
    world.evacuations.isUnavailable = true;
    world.exchange.isConnected = () => false;
    const cutAtMs = world.nowMs;
    world.runFor(LOAD_MS);
    assert.equal(countArrivals(world, 'zone-1', cutAtMs), 0);
    assert.ok(countArrivals(world, 'zone-0', cutAtMs) > 20);
  });

  it('passes the loss of a relay: the next one tells the zone', () => {
    const world = createWorld(RELAYED_NODES);
    world.runFor(EVACUATION_MS);
    const relay = world.nodes.find(
      ({state}) =>
        state.exchange.relayRank === 0 && state.zone === makeId('zone-2'),
    )!;
    world.restartNode(world.nodes.indexOf(relay), 2 * LOAD_MS);
    world.evacuations.evacuate('zone-1');
    const atMs = world.nowMs;
    world.runFor(LOAD_MS);
    assert.equal(countArrivals(world, 'zone-1', atMs + EVACUATE_MS), 0);
    const running = world.nodes.filter(({isUp}) => isUp);
    assert.equal(running.length, RELAYED_NODES - 1);
    assert.ok(running.every(({state}) => knows(state, 'zone-1')));
  });

  it('reaches nodes whose relays are of a build without evacuations', () => {
    const world = createWorld(RELAYED_NODES);
    world.exchange.rewrite = ({evacuation: _, ...digest}) => digest;
    // Without the field in digests, nodes read the store within two seconds.
    const atMs = evacuate(world, 'zone-1');
    world.runFor(EVACUATE_MS);
    for (const {state} of world.nodes) assert.ok(knows(state, 'zone-1'));
    world.restartNode(20, 200);
    world.runFor(LOAD_MS);
    assert.ok(knows(world.nodes[20]!.state, 'zone-1'));
    assert.equal(countArrivals(world, 'zone-1', atMs + EVACUATE_MS), 0);
  });

  it('ends when the zone is returned to service, and each node notes when', () => {
    const world = createWorld();
    evacuate(world, 'zone-1');
    world.runFor(3000);
    world.evacuations.returnToService('zone-1');
    const returnedAtMs = world.nowMs;
    world.runFor(LOAD_MS);
    assert.ok(countArrivals(world, 'zone-1', returnedAtMs) > 20);
    for (const {state} of world.nodes) {
      const zone = makeId<ZoneId>('zone-1');
      const atMs = state.evacuation.returnedAtMsByZone.get(zone)!;
      assert.ok(atMs >= returnedAtMs && atMs < returnedAtMs + 1000);
    }
  });

  it('keeps a zone that a restored store has lost, until the store has settled', () => {
    const world = createWorld();
    evacuate(world, 'zone-1');
    world.runFor(1000);
    world.evacuations.restore();
    const restoredAtMs = world.nowMs;
    world.runFor(2000);
    assert.equal(countArrivals(world, 'zone-1', restoredAtMs), 0);
    world.runFor(2000);
    assert.ok(world.nodes.every(({state}) => !knows(state, 'zone-1')));
    assert.ok(countArrivals(world, 'zone-1', restoredAtMs) > 0);
  });
});
