import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FleetChecks} from '../../support/fleet_checks.js';
import {FleetWorld} from '../../../src/replay/fleet/index.js';
import {scheduleFaults} from '../../support/fleet_faults.js';

const SEEDS = [1, 2, 3, 4, 5];
const SERVICE = {name: 'feeding', replicas: 2, vmsPerReplica: 3, minServing: 1};
const STEP_MS = 50;
/** Covers the time-out of an order and its completion; a lease takes longer to expire. */
const HANDOVER_LIMIT_MS = 2000;

function createWorld(seed: number): FleetWorld {
  return new FleetWorld({
    seed,
    nodes: 3,
    domains: 2,
    vmsPerDomain: 7,
    services: [SERVICE],
  });
}

function countStewardships(node: FleetWorld['nodes'][number]): number {
  return node.state.replicas.stewardships.size;
}

/** Returns the node that is steward of most domains. */
function findSteward(world: FleetWorld) {
  return [...world.nodes].sort(
    (a, b) => countStewardships(b) - countStewardships(a),
  )[0]!;
}

for (const seed of SEEDS) {
  test(`replicas are rebuilt when a steward drains during an outage of its domain, seed ${seed}`, () => {
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
      checks.checkNow();
      if (countStewardships(steward) === 0) {
        handedOverAtMs = Math.min(handedOverAtMs, world.nowMs);
      }
      world.request(others[(world.nowMs / STEP_MS) % 2]!, SERVICE.name);
    });
    assert.deepEqual(checks.faults, []);
    assert.ok(steward.state.drain.exited);
    assert.ok(handedOverAtMs - drainAtMs <= HANDOVER_LIMIT_MS);
    for (const node of others) {
      const serving = world.countServing(SERVICE.name, node);
      assert.equal(serving, SERVICE.replicas);
    }
  });
}
