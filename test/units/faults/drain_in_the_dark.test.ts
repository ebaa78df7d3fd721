import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FleetChecks} from '../../support/fleet_checks.js';
import {FleetWorld} from '../../../src/replay/fleet/index.js';
import {scheduleFaults} from '../../support/fleet_faults.js';

const SEEDS = [1, 2, 3, 4, 5];
const SERVICE = {name: 'feeding', replicas: 2, vmsPerReplica: 3, minServing: 1};
const STEP_MS = 50;
/** An order's time-out and its settling; a lease takes longer to lapse. */
const HAND_OVER_MS = 2000;

function createWorld(seed: number): FleetWorld {
  return new FleetWorld({
    seed,
    nodes: 3,
    domains: 2,
    vmsPerDomain: 7,
    services: [SERVICE],
  });
}

function countHeld(node: FleetWorld['nodes'][number]): number {
  return node.state.replicas.stewardships.size;
}

/** The node that holds most domains. */
function findSteward(world: FleetWorld) {
  return [...world.nodes].sort((a, b) => countHeld(b) - countHeld(a))[0]!;
}

for (const seed of SEEDS) {
  test(`a steward drains while its domain goes dark: replicas are rebuilt, seed ${seed}`, () => {
    const world = createWorld(seed);
    const checks = new FleetChecks(world);
    world.run(15_000);
    const steward = findSteward(world);
    const others = world.nodes.filter(node => node !== steward);
    scheduleFaults(world, [
      {kind: 'domain-dark', atMs: 0, forMs: 20_000, pick: seed},
    ]);
    const drainAtMs = world.nowMs + seed * 300;
    world.world.time.after(seed * 300, () => {
      steward.dispatch({type: 'drainRequested', reason: 'test'});
    });
    let handedOverAtMs = Infinity;
    world.watch(120_000, STEP_MS, () => {
      checks.look();
      if (countHeld(steward) === 0) {
        handedOverAtMs = Math.min(handedOverAtMs, world.nowMs);
      }
      world.request(others[(world.nowMs / STEP_MS) % 2]!, SERVICE.name);
    });
    assert.deepEqual(checks.faults, []);
    assert.ok(steward.state.drain.exited);
    assert.ok(handedOverAtMs - drainAtMs <= HAND_OVER_MS);
    for (const node of others) {
      const serving = world.countServing(SERVICE.name, node);
      assert.equal(serving, SERVICE.replicas);
    }
  });
}
