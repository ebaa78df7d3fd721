import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {FleetChecks} from '../../support/fleet_checks.js';
import {FleetWorld} from '../../../src/replay/fleet/index.js';

const STEP_MS = 50;
const FEEDING = {
  name: 'feeding',
  replicas: 3,
  vmsPerReplica: 2,
  minServing: 2,
};

interface Rolled {
  readonly world: FleetWorld;
  readonly checks: FleetChecks;
  /** Fewest replicas that served at any time. */
  least: number;
}

function createRolledFleet(vmsPerDomain: number): Rolled {
  const world = new FleetWorld({
    seed: 5,
    nodes: 3,
    domains: 2,
    vmsPerDomain,
    services: [FEEDING],
  });
  const checks = new FleetChecks(world);
  world.watch(15_000, STEP_MS, () => checks.checkNow());
  return {world, checks, least: Infinity};
}

function runWithRequests(rolled: Rolled, forMs: number): void {
  const {world, checks} = rolled;
  world.watch(forMs, STEP_MS, () => {
    checks.checkNow();
    const serving = world.countServing('feeding', world.nodes[0]!);
    rolled.least = Math.min(rolled.least, serving);
    world.request(world.nodes[1]!, 'feeding');
  });
}

function listVersions({world}: Rolled): string[] {
  const {targets} = world.nodes[0]!.state;
  return [...targets.byId.values()]
    .filter(target => !target.bar)
    .map(target => target.version!);
}

suite('reconciliation with changed service files', () => {
  test('a version roll without spare VMs never drops below the minimum of serving replicas', () => {
    const rolled = createRolledFleet(3);
    rolled.world.publish([{...FEEDING, replicas: 2, minServing: 1}]);
    runWithRequests(rolled, 15_000);
    rolled.least = Infinity;
    rolled.world.publish([
      {...FEEDING, replicas: 2, minServing: 1, version: '2'},
    ]);
    runWithRequests(rolled, 60_000);
    assert.deepEqual(listVersions(rolled), ['2', '2']);
    assert.equal(rolled.least, 1);
    assert.deepEqual(rolled.checks.faults, []);
  });

  test('a version roll with spare VMs keeps all replicas serving', () => {
    const rolled = createRolledFleet(8);
    rolled.world.publish([{...FEEDING, version: '2'}]);
    runWithRequests(rolled, 60_000);
    assert.deepEqual(listVersions(rolled), ['2', '2', '2']);
    assert.equal(rolled.least, 3);
    assert.deepEqual(rolled.checks.faults, []);
  });

  test('changed adapters are loaded in place without interrupting service', () => {
    const rolled = createRolledFleet(4);
    const {loads} = rolled.world.fleet;
    rolled.world.publish([{...FEEDING, adapters: ['quotes']}]);
    runWithRequests(rolled, 10_000);
    const {targets} = rolled.world.nodes[0]!.state;
    for (const target of targets.byId.values()) {
      assert.deepEqual(target.adapters, ['quotes']);
    }
    assert.equal(rolled.least, 3);
    assert.equal(rolled.world.fleet.loads, loads);
  });

  test('surplus replicas are drained without cancelling a request', () => {
    const rolled = createRolledFleet(4);
    let cut = 0;
    rolled.world.world.addFake({
      types: ['cancelAttempt'],
      handle: () => (cut += 1),
    });
    runWithRequests(rolled, 2000);
    rolled.world.publish([{...FEEDING, replicas: 1, minServing: 1}]);
    runWithRequests(rolled, 30_000);
    assert.equal(listVersions(rolled).length, 1);
    assert.equal(cut, 0);
  });

  test('the VMs of a removed service are released', () => {
    const rolled = createRolledFleet(4);
    rolled.world.publish([]);
    rolled.world.run(30_000);
    for (const engine of rolled.world.fleet.engines.values()) {
      assert.equal(engine.phase, 'idle');
    }
  });

  test('when VMs are short, the service of higher priority reaches its minimum first', () => {
    const rolled = createRolledFleet(6);
    const {world} = rolled;
    const engines = [...world.fleet.engines.values()];
    const serving = (name: string) => world.countServing(name, world.nodes[0]!);
    world.publish([
      {...FEEDING, minServing: 3, priority: 1},
      {name: 'letters', replicas: 2, vmsPerReplica: 2, priority: 0},
    ]);
    world.run(20_000);
    assert.equal(serving('letters'), 2);
    for (const one of engines) if (one.phase === 'idle') one.kill();
    engines.find(one => one.assignment?.service === 'feeding')!.kill();
    world.run(90_000);
    assert.equal(serving('feeding'), 3);
    assert.equal(serving('letters'), 1);
  });
});
