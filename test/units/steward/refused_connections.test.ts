import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
  PathFault,
  ServingEngine,
  ServingWorld,
  WorldNode,
} from '../../../src/replay/serving/index.js';
import {SERVING_BOUNDS} from '../../../src/replay/serving/index.js';
import {simulatePartitions} from '../../support/partition_world.js';

/** Virtual times in logs are relative to this one. */
const LOG_EPOCH_MS = 1_000_000;
const CUT_MS = 4000;
const CUT_INTERVAL_MS = 6000;
const CUT_COUNT = 3;
const SEEDS = [1, 2, 3, 4, 5];
/** A crash is known after a probe, the probes of other nodes, and their digests. */
const CRASH_REPORT_MS = 1000;

function findHeads(world: ServingWorld): ServingEngine[] {
  return [...world.engines.values()].filter(one => one.isServing);
}

function findLosses({logs}: ServingWorld, vmId: string): number[] {
  return logs
    .filter(line => / engine lost /.test(line) && line.includes(`"${vmId}"`))
    .map(line => Number(line.split(' ')[0]) + LOG_EPOCH_MS);
}

/** The steward and other nodes, a third of all. */
function selectThird(world: ServingWorld): WorldNode[] {
  const steward = world.stewardNode!;
  const others = world.nodes.filter(node => node !== steward);
  return [steward, ...others.slice(0, world.nodes.length / 3 - 1)];
}

/** Cuts the paths from the selected nodes to a quarter of the serving heads, several times. */
function cutHeads(
  seed: number,
  fault: PathFault,
  select: (world: ServingWorld) => readonly WorldNode[],
): ServingWorld {
  const {world} = simulatePartitions({
    seed,
    partitions: [
      {
        atMs: 0,
        forMs: CUT_COUNT * CUT_INTERVAL_MS,
        fault,
        select: () => [],
      },
    ],
    beside: one => {
      for (let count = 0; count < CUT_COUNT; count++) {
        one.after(count * CUT_INTERVAL_MS, () => {
          const vmIds = findHeads(one)
            .filter((_, at) => at % 4 === count)
            .map(({record}) => record.vmId);
          assert.ok(vmIds.length > 0);
          one.network.partitionEngines(select(one), vmIds, fault);
        });
        one.after(count * CUT_INTERVAL_MS + CUT_MS, () =>
          one.network.healEngines(),
        );
      }
    },
  });
  return world;
}

// Rule TWO: a refused connection was taken for the end of the head's process.
describe('an open head that refuses connections', () => {
  for (const fault of ['refused', 'established-only'] as const) {
    it(`keeps its members and its requests while other nodes reach it, ${fault}`, () => {
      for (const seed of SEEDS) {
        const world = cutHeads(seed, fault, selectThird);
        assert.deepEqual(world.violations, [], `seed ${seed}`);
        const losses = world.logs.filter(line => / engine lost /.test(line));
        assert.deepEqual(losses, [], `seed ${seed}`);
      }
    });
  }

  for (const fault of ['refused', 'established-only'] as const) {
    it(`keeps its members while no node can open a connection to it, ${fault}`, () => {
      for (const seed of SEEDS) {
        const world = cutHeads(seed, fault, ({nodes}) => nodes);
        assert.deepEqual(world.violations, [], `seed ${seed}`);
      }
    });
  }
});

describe('a head whose process has ended', () => {
  for (const count of [1, 6]) {
    it(`is found at once, and its members are freed when the store no longer lists it, ${count} at the same time`, () => {
      for (const seed of SEEDS) {
        let crashed: string[] = [];
        let crashedAtMs = 0;
        const {world} = simulatePartitions({
          seed,
          partitions: [
            {atMs: 0, forMs: 1000, fault: 'silent', select: () => []},
          ],
          beside: one => {
            crashedAtMs = one.nowMs;
            const busy = findHeads(one).filter(({inFlight}) => inFlight > 0);
            crashed = busy.slice(0, count).map(({record}) => record.vmId);
            for (const {record} of busy.slice(0, count)) {
              one.crashEngine(record.vmId, {isSilent: false});
            }
          },
        });
        assert.equal(crashed.length, count);
        for (const vmId of crashed) {
          const label = `seed ${seed}, ${vmId}`;
          const lostAtMs = findLosses(world, vmId)[0] ?? Infinity;
          assert.ok(lostAtMs - crashedAtMs <= CRASH_REPORT_MS, label);
          const released = world.logs.find(
            line =>
              / replica released /.test(line) && line.includes(`"${vmId}~`),
          );
          assert.ok(released, `${label}: not released`);
          const atMs = Number(released.split(' ')[0]) + LOG_EPOCH_MS;
          assert.ok(
            atMs - crashedAtMs <= SERVING_BOUNDS.listingMs + CRASH_REPORT_MS,
            `${label}: released after ${atMs - crashedAtMs} ms`,
          );
        }
        assert.deepEqual(world.violations, [], `seed ${seed}`);
      }
    });
  }
});
