import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceName} from '../../../src/core/ids/index.js';
import {ServingWorld, sendLoad} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {retryBudget} from '../../../src/core/serving/index.js';
import {findBusiestRetryWindow} from '../../support/find_busiest_retry_window.js';

const SERVICE = makeId<ServiceName>('pool');
const ASSEMBLY_MS = 8000;
const LOAD_MS = 30_000;
/** From here on engines refuse most requests. */
const REFUSALS_AT_MS = 5000;
/** Retries of a calm fleet, as a share of the budget, when engines refuse nearly everything; the budget is there to be used. */
const MIN_CALM_USE = 0.7;

interface RetryScenario {
  readonly seed: number;
  readonly nodeCount?: number;
  readonly refusalShare?: number;
  readonly requestsPerS?: number;
  readonly loadMs?: number;
  /** Runs when the refusals begin. */
  readonly fault?: (world: ServingWorld) => void;
}

/** Simulates a fleet whose engines refuse most requests, so that each node retries as often as it may. */
function simulate(scenario: RetryScenario): ServingWorld {
  const {seed, nodeCount = 12, refusalShare = 0.9} = scenario;
  const {loadMs = LOAD_MS} = scenario;
  const world = new ServingWorld({
    seed,
    nodeCount,
    domainCount: 3,
    domainSize: 11,
  });
  world.runFor(ASSEMBLY_MS);
  sendLoad(world, createRandom(seed), {
    durationMs: loadMs,
    requestsPerS: () => scenario.requestsPerS ?? 60,
  });
  world.after(REFUSALS_AT_MS, () => {
    world.network.refusalShareOf = () => refusalShare;
    scenario.fault?.(world);
  });
  world.runFor(loadMs);
  return world;
}

function assertWithinBudget(world: ServingWorld, label: string): void {
  const {retries, allowed} = findBusiestRetryWindow(world);
  assert.ok(retries > 0, `${label}: no retries`);
  assert.ok(retries <= allowed, `${label}: ${retries} of ${allowed} retries`);
}

/** Drops the digests between nodes of different groups. */
function partition(world: ServingWorld, groupOf: (at: number) => number): void {
  const groups = new Map(
    world.nodes.map(({state}, at) => [state.peerAddress, groupOf(at)]),
  );
  world.exchange.isConnected = (from, to) =>
    groups.get(from) === groups.get(to);
}

function heal(world: ServingWorld): void {
  world.exchange.isConnected = () => true;
}

describe("the fleet's retries", () => {
  it('stay within the budget when the nodes are split in halves', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => {
          one.after(3000, () => partition(one, at => at % 2));
          one.after(10_000, () => heal(one));
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when no node hears another one', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => partition(one, at => at),
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when most nodes are killed again and again', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => {
          for (const delayMs of [2000, 5000, 8000]) {
            one.after(delayMs, () => {
              for (let at = 0; at < 8; at++) one.restartNode(at, 500);
            });
          }
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when all nodes are killed right after they have used it', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one =>
          one.after(1500, () => {
            for (let at = 0; at < 12; at++) one.restartNode(at, 300);
          }),
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when the nodes restart one after the other', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => {
          for (let at = 0; at < 24; at++) {
            one.after(2000 + 600 * at, () => one.restartNode(at % 12, 500));
          }
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when nodes are killed on both sides of a split', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => {
          one.after(1000, () => partition(one, at => at % 2));
          one.after(2500, () => {
            for (let at = 0; at < 6; at++) one.restartNode(at, 1000);
          });
          one.after(9000, () => heal(one));
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when nodes are added to one side of a split', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => {
          one.after(1000, () => {
            for (let count = 0; count < 6; count++) one.addNode();
            partition(one, at => (at < 12 ? at % 2 : 0));
          });
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when callers move from one side of a split to the other', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        fault: one => {
          const sides = new Map(one.nodes.map((node, at) => [node, at % 2]));
          let side = 0;
          one.acceptsCallers = node => sides.get(node) === side;
          partition(one, at => at % 2);
          one.after(6000, () => (side = 1));
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('stay within the budget when relays stand still and zones are cut from each other', () => {
    for (const seed of [1, 2]) {
      const world = simulate({
        seed,
        nodeCount: 36,
        requestsPerS: 90,
        fault: one => {
          one.after(2000, () => {
            const relays = one.nodes.filter(
              ({state}) => state.exchange.relayRank >= 0,
            );
            assert.ok(relays.length > 0);
            for (const relay of relays) relay.isUp = false;
            one.after(4000, () => {
              for (const relay of relays) relay.isUp = true;
            });
          });
          one.after(9000, () => partition(one, at => at % 3));
        },
      });
      assertWithinBudget(world, `seed ${seed}`);
    }
  });

  it('are allowed to a restarted node as before when its peers know what it used', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({
        seed,
        refusalShare: 0.05,
        loadMs: REFUSALS_AT_MS + 5500,
        fault: one => one.after(4000, () => one.restartNode(3, 500)),
      });
      const {state} = world.nodes[3]!;
      const usage = retryBudget.usage(state, SERVICE, world.nowMs);
      assert.equal(usage.nodeCount, 12);
      assert.ok(usage.used + 1 <= usage.allowed);
    }
  });

  it('use most of the budget in a calm fleet whose engines refuse nearly everything', () => {
    for (const seed of [1, 2, 3]) {
      const world = simulate({seed, refusalShare: 0.97, requestsPerS: 90});
      const {retries, allowed} = findBusiestRetryWindow(world);
      assert.ok(
        retries >= MIN_CALM_USE * allowed,
        `seed ${seed}: ${retries} of ${allowed} retries`,
      );
    }
  });
});
