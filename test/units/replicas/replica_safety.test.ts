import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import fc from 'fast-check';
import {propertyOptions} from '../../support/property_options.js';
import {FleetChecks} from '../../support/fleet_checks.js';
import {FleetWorld} from '../../../src/replay/fleet/index.js';
import {
  type FleetFault,
  endFaults,
  fleetFaultArbitrary,
  scheduleFaults,
} from '../../support/fleet_faults.js';

const SERVICES = [
  {name: 'feeding', replicas: 2, vmsPerReplica: 3, minServing: 1},
  {name: 'letters', replicas: 2, vmsPerReplica: 2, priority: 1},
];
const SPAN_MS = 40_000;
const STEP_MS = 50;
const HEAL_MS = 150_000;
const NUM_RUNS = 20;
const SEED = 20_261_204;

/** The second outage of the domain hits engines that have just been sent orders. */
const DARK_TWICE: [number, FleetFault[]] = [
  0,
  [
    {kind: 'domain-dark', atMs: 34_003, forMs: 4500, pick: 0},
    {kind: 'kill-vm', atMs: 0, forMs: 200, pick: 0},
    {kind: 'domain-dark', atMs: 39_503, forMs: 200, pick: 105},
  ],
];

function createWorld(seed: number): FleetWorld {
  return new FleetWorld({
    seed,
    nodes: 3,
    domains: 2,
    vmsPerDomain: 7,
    services: SERVICES,
  });
}

function sendRequests(world: FleetWorld): void {
  const {nowMs} = world;
  const service = SERVICES[(nowMs / STEP_MS) % 2]!.name;
  const node = world.nodes[Math.floor(nowMs / STEP_MS / 2) % 3]!;
  world.request(node, service);
}

suite('replica safety', () => {
  test('random faults put no VM into two replicas, send no request to a broken one, and all replicas recover', () => {
    const schedules = fc.tuple(fc.nat(), fleetFaultArbitrary(SPAN_MS));
    const property = fc.property(schedules, ([seed, faults]) => {
      const world = createWorld(seed);
      const checks = new FleetChecks(world);
      world.run(15_000);
      scheduleFaults(world, faults);
      world.watch(SPAN_MS + 25_000, STEP_MS, () => {
        checks.checkNow();
        sendRequests(world);
      });
      endFaults(world);
      world.watch(HEAL_MS, 500, () => checks.checkNow());
      assert.deepEqual(checks.faults, []);
      for (const node of world.nodes) {
        for (const {name, replicas} of SERVICES) {
          const serving = world.countServing(name, node);
          assert.equal(serving, replicas, `${name} at the end`);
        }
      }
    });
    fc.assert(property, {
      ...propertyOptions(NUM_RUNS, SEED),
      examples: [[DARK_TWICE]],
    });
  });
});
