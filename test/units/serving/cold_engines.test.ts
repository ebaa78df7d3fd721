import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {NodeId, VmId, ZoneId} from '../../../src/core/ids/index.js';
import type {RegisteredNode} from '../../../src/core/serving/types.js';
import {
  SERVING_MODELS,
  ServingWorld,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {rankOwners} from '../../../src/core/serving/coldness/rank_owners.js';

const ASSEMBLY_MS = 8000;
const LOAD_MS = 14_000;
const COLD = {coldMs: 3000, coldRequestsPerS: 17};
/** 17 x 1.5 + 5. */
const BOUND_PER_S = 30;

interface ColdScenario {
  readonly seed: number;
  readonly nodeCount: number;
  readonly requestsPerS?: number;
  readonly fault?: (world: ServingWorld) => void;
}

/** Simulates a loaded fleet in which heads crash, so that replicas open cold, one after the other. */
function simulate(scenario: ColdScenario): ServingWorld {
  const {seed, nodeCount, requestsPerS = 160} = scenario;
  const world = new ServingWorld({
    seed,
    nodeCount,
    domainCount: 4,
    domainSize: 11,
    service: COLD,
  });
  world.runFor(ASSEMBLY_MS);
  sendLoad(world, createRandom(seed), {
    durationMs: LOAD_MS,
    requestsPerS: () => requestsPerS,
  });
  for (const atMs of [2000, 5000, 8000]) {
    world.after(atMs, () => crashHeads(world));
  }
  scenario.fault?.(world);
  world.runFor(LOAD_MS);
  return world;
}

/** Crashes one head of each model. */
function crashHeads(world: ServingWorld): void {
  for (const model of Object.values(SERVING_MODELS)) {
    const head = [...world.engines.values()].find(
      one => one.isServing && one.record.models[0] === model,
    );
    if (!head) continue;
    const {vmId} = head.record;
    world.crashEngine(vmId, {isSilent: false});
    world.after(3000, () => world.restartEngine(vmId));
  }
}

function assertWithinBound(world: ServingWorld, label: string): void {
  const {busiest, crashCount} = world.coldness;
  assert.ok(busiest.size > 0, `${label}: no engine was used while cold`);
  for (const [vmId, count] of busiest) {
    assert.ok(
      count <= BOUND_PER_S,
      `${label}: ${vmId} gets ${count} requests in a second`,
    );
  }
  assert.equal(crashCount, 0, label);
  assert.deepEqual(world.violations, []);
}

/** Gives each node a registry that lacks up to two nodes of the store's. */
function varyRegistries(world: ServingWorld, seed: number): void {
  const random = createRandom(seed);
  const all = world.exchange.list();
  for (const node of world.nodes) {
    const missing = [0, 1].map(() => random.nextInt(all.length));
    const nodes = all.filter((_, at) => !missing.includes(at));
    world.dispatch(node, {type: 'peersRegistered', nodes});
  }
}

describe('a cold engine', () => {
  // Each test guards against a flood that crashes an engine which has just opened.
  for (const nodeCount of [12, 60, 100]) {
    it(`gets at most its bound from ${nodeCount} nodes`, () => {
      assertWithinBound(simulate({seed: 1, nodeCount}), 'seed 1');
    });
  }

  it('gets at most its bound while registries differ by two nodes', () => {
    for (const seed of [1, 2]) {
      const fault = (world: ServingWorld) => varyRegistries(world, seed);
      const world = simulate({seed, nodeCount: 12, fault});
      assertWithinBound(world, `seed ${seed}`);
    }
  });

  it('gets at most its bound from nodes that are cut off from each other', () => {
    for (const seed of [1, 2]) {
      const fault = (world: ServingWorld) =>
        world.after(4000, () => {
          world.exchange.isConnected = () => false;
        });
      const world = simulate({seed, nodeCount: 12, fault});
      assertWithinBound(world, `seed ${seed}`);
    }
  });

  it('gets at most its bound when all nodes start at once', () => {
    for (const seed of [1, 2]) {
      const fault = (world: ServingWorld) =>
        world.after(4500, () => world.powerCycleNodes(300));
      const world = simulate({seed, nodeCount: 12, fault});
      assertWithinBound(world, `seed ${seed}`);
    }
  });

  it('gets at most its bound while nodes restart one after the other and others are added', () => {
    for (const seed of [1, 2]) {
      const fault = (world: ServingWorld) => {
        for (let at = 0; at < 12; at++) {
          world.after(1500 + 1200 * at, () => world.restartNode(at, 200));
        }
        world.after(6000, () => world.addNode());
        world.after(6100, () => world.addNode());
      };
      const world = simulate({seed, nodeCount: 12, fault});
      assertWithinBound(world, `seed ${seed}`);
    }
  });

  it('gets at most its bound with retries and requests that engines refuse', () => {
    for (const seed of [1, 2]) {
      const fault = (world: ServingWorld) => {
        world.network.refusalShareOf = () => 0.3;
      };
      const world = simulate({seed, nodeCount: 12, fault});
      assertWithinBound(world, `seed ${seed}`);
    }
  });

  it('gets at most its bound when its nodes stand still for a moment', () => {
    for (const seed of [1, 2]) {
      const fault = (world: ServingWorld) => {
        for (const atMs of [4000, 6500]) {
          world.after(atMs, () => world.pauseNodes(250));
        }
      };
      const world = simulate({seed, nodeCount: 12, fault});
      assertWithinBound(world, `seed ${seed}`);
    }
  });
});

describe('the owners of a cold engine', () => {
  const nodes = Array.from({length: 100}, (_, at) => ({
    nodeId: makeId<NodeId>(`n${at}`),
    zone: makeId<ZoneId>('zone'),
    peerAddress: `10.0.0.${at}:1`,
    coreCount: at % 4 === 0 ? 4 : 1,
  })) satisfies RegisteredNode[];

  it('are at most four over all nodes whose lists lack any two nodes', () => {
    const random = createRandom(5);
    for (let engine = 0; engine < 40; engine++) {
      const vmId = makeId<VmId>(`e${engine}`);
      const ranked = rankOwners(vmId, nodes);
      const owners = new Set<NodeId>();
      for (const {nodeId} of nodes) {
        // Lists that lack the first owners make the others take their place.
        const missing = [0, 1].map(() => ranked[random.nextInt(4)]!);
        const list = nodes.filter(
          one => one.nodeId === nodeId || !missing.includes(one.nodeId),
        );
        const own = rankOwners(vmId, list).slice(0, 2);
        if (own.includes(nodeId)) owners.add(nodeId);
      }
      assert.ok(owners.size <= 4, `${vmId}: ${owners.size} owners`);
    }
  });

  it('are chosen by their cores, so that small nodes are not overloaded', () => {
    let large = 0;
    for (let engine = 0; engine < 2000; engine++) {
      const [first] = rankOwners(makeId<VmId>(`e${engine}`), nodes);
      const at = Number(first!.slice(1));
      if (at % 4 === 0) large += 1;
    }
    // 25 nodes of four cores have 100 of 175 cores.
    assert.ok(Math.abs(large / 2000 - 100 / 175) < 0.05, `${large}`);
  });
});
