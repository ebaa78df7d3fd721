import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {VmId} from '../../../src/core/ids/index.js';
import {
  SERVING_MODELS,
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {countBetween} from '../../support/count_between.js';
import {createRandom} from '../../../src/core/random/index.js';
import {findBusiestLimitWindow} from '../../support/find_busiest_limit_window.js';

const ASSEMBLY_MS = 8000;
const LOAD_MS = 30_000;
const LIMIT_AT_MS = 4000;
/** From the first naming of a limit until all nodes must heed it. */
const CONTACT_MS = 3000;
const MS_PER_S = 1000;
/** Share of its limit that an engine gets while there is more work than that. */
const MIN_USE = 0.8;
const AT_ONCE_MS = 50;
/** Share of the refused requests that do not wait first, where six times more arrive than the engines take. */
const MIN_REFUSED_AT_ONCE = 0.5;

interface LimitScenario {
  readonly seed: number;
  readonly nodeCount?: number;
  readonly requestsPerS?: number;
  /** Limit of the limited engines, by the time since they first named it; undefined: none. */
  readonly limitPerSAt: (sinceMs: number) => number | undefined;
  /** How many heads of each model name it; one by default. */
  readonly headsPerModel?: number;
  /** Runs when the engines first name the limit. */
  readonly fault?: (world: ServingWorld) => void;
}

interface LimitedWorld {
  readonly world: ServingWorld;
  readonly limitedIds: readonly VmId[];
  readonly namedAtMs: number;
}

/** Simulates a loaded fleet in which some heads of replicas name a limit. */
function simulate(scenario: LimitScenario): LimitedWorld {
  const {seed, nodeCount = 12, requestsPerS = 45} = scenario;
  const world = new ServingWorld({
    seed,
    nodeCount,
    domainCount: 3,
    domainSize: 11,
  });
  world.runFor(ASSEMBLY_MS);
  const startMs = world.nowMs;
  sendLoad(world, createRandom(seed), {
    durationMs: LOAD_MS,
    requestsPerS: () => requestsPerS,
  });
  const limitedIds = Object.values(SERVING_MODELS).flatMap(model =>
    [...world.engines.values()]
      .filter(one => one.isServing && one.record.models[0] === model)
      .slice(0, scenario.headsPerModel ?? 1)
      .map(({record}) => record.vmId),
  );
  assert.ok(limitedIds.length > 1);
  const namedAtMs = startMs + LIMIT_AT_MS;
  world.network.limitPerSOf = vmId =>
    limitedIds.includes(vmId) && world.nowMs >= namedAtMs
      ? scenario.limitPerSAt(world.nowMs - namedAtMs)
      : undefined;
  world.after(LIMIT_AT_MS, () => scenario.fault?.(world));
  world.runFor(LOAD_MS);
  return {world, limitedIds, namedAtMs};
}

function assertWithinLimits(
  {world, limitedIds, namedAtMs}: LimitedWorld,
  limitPerSAt: LimitScenario['limitPerSAt'],
  label: string,
): void {
  for (const vmId of limitedIds) {
    const {requests, allowed} = findBusiestLimitWindow(
      world,
      vmId,
      atMs => limitPerSAt(atMs - namedAtMs),
      namedAtMs + CONTACT_MS,
    );
    assert.ok(
      requests <= allowed,
      `${label}: ${vmId} gets ${requests} of ${allowed} requests`,
    );
  }
  assert.deepEqual(world.violations, []);
}

/** Requests per second that an engine gets between two times after it first named its limit. */
function rateOf(
  {world, namedAtMs}: LimitedWorld,
  vmId: VmId,
  fromMs: number,
  untilMs: number,
): number {
  const timesMs = world.network.arrivals
    .filter(one => one.vmId === vmId)
    .map(({atMs}) => atMs);
  const count = countBetween(timesMs, namedAtMs + fromMs, namedAtMs + untilMs);
  return (count * MS_PER_S) / (untilMs - fromMs);
}

describe('an engine that names a limit', () => {
  it('gets no more requests than that from all nodes together', () => {
    for (const seed of [1, 2, 3]) {
      for (const limitPerS of [0.3, 1, 2.5, 5]) {
        const limitPerSAt = () => limitPerS;
        const limited = simulate({seed, limitPerSAt});
        assertWithinLimits(limited, limitPerSAt, `${seed}, ${limitPerS}`);
      }
    }
  });

  it('is used up to its limit while there is work for it', () => {
    for (const seed of [1, 2, 3]) {
      for (const limitPerS of [0.3, 1, 2.5]) {
        const limited = simulate({
          seed,
          limitPerSAt: () => limitPerS,
          requestsPerS: 80,
        });
        for (const vmId of limited.limitedIds) {
          const rate = rateOf(limited, vmId, CONTACT_MS, 25_000);
          assert.ok(
            rate >= MIN_USE * limitPerS,
            `${seed}: ${rate} of ${limitPerS} a second`,
          );
        }
      }
    }
  });

  it('gets no more than a limit that falls while requests are queued', () => {
    for (const seed of [1, 2, 3]) {
      const limitPerSAt = (sinceMs: number) =>
        sinceMs < 8000 ? 6 : sinceMs < 14_000 ? 1.5 : 3;
      const limited = simulate({seed, limitPerSAt, requestsPerS: 80});
      assertWithinLimits(limited, limitPerSAt, `seed ${seed}`);
    }
  });

  it('gets no more through nodes that are cut off from each other', () => {
    for (const seed of [1, 2, 3]) {
      const limitPerSAt = () => 2.5;
      const limited = simulate({
        seed,
        limitPerSAt,
        fault: world => world.after(6000, () => isolate(world)),
      });
      assertWithinLimits(limited, limitPerSAt, `seed ${seed}`);
    }
  });

  it('gets no more through nodes that restart or are added', () => {
    for (const seed of [1, 2, 3]) {
      const limitPerSAt = () => 2.5;
      const limited = simulate({
        seed,
        limitPerSAt,
        fault: world => {
          for (let at = 0; at < 8; at++) {
            world.after(4000 + 1500 * at, () => world.restartNode(at, 500));
          }
          world.after(7000, () => {
            for (let node = 0; node < 6; node++) world.addNode();
          });
        },
      });
      assertWithinLimits(limited, limitPerSAt, `seed ${seed}`);
    }
  });

  it('gets no more with retries and requests that engines refuse', () => {
    for (const seed of [1, 2, 3]) {
      const limitPerSAt = () => 2;
      const limited = simulate({
        seed,
        limitPerSAt,
        requestsPerS: 60,
        fault: world => {
          world.network.refusalShareOf = () => 0.4;
        },
      });
      assertWithinLimits(limited, limitPerSAt, `seed ${seed}`);
    }
  });

  it('gets no more when digests go through relays', () => {
    for (const seed of [1, 2]) {
      for (const limitPerS of [1, 4]) {
        const limitPerSAt = () => limitPerS;
        const limited = simulate({
          seed,
          nodeCount: 60,
          limitPerSAt,
          requestsPerS: 90,
        });
        assertWithinLimits(limited, limitPerSAt, `${seed}, ${limitPerS}`);
      }
    }
  });

  it('gets hardly any request while its limit is zero, and is used again when it names none', () => {
    for (const seed of [1, 2]) {
      const limitPerSAt = (sinceMs: number) =>
        sinceMs < 10_000 ? 0 : undefined;
      const limited = simulate({seed, limitPerSAt, requestsPerS: 60});
      assertWithinLimits(limited, limitPerSAt, `seed ${seed}`);
      for (const vmId of limited.limitedIds) {
        assert.ok(rateOf(limited, vmId, CONTACT_MS, 10_000) <= 1);
        assert.ok(rateOf(limited, vmId, 21_000, 26_000) >= 3);
      }
    }
  });

  it('gets its limit, and the rest is refused at once, when all engines name one', () => {
    for (const seed of [1, 2]) {
      const limitPerSAt = () => 1.5;
      const limited = simulate({
        seed,
        limitPerSAt,
        headsPerModel: 3,
        requestsPerS: 60,
      });
      assertWithinLimits(limited, limitPerSAt, `seed ${seed}`);
      const {world, namedAtMs, limitedIds} = limited;
      for (const vmId of limitedIds) {
        const rate = rateOf(limited, vmId, CONTACT_MS, 25_000);
        assert.ok(rate >= MIN_USE * 1.5, `${seed}: ${rate}`);
      }
      const late = world.outcomes.filter(
        one =>
          one.arrivedAtMs > namedAtMs + CONTACT_MS &&
          one.arrivedAtMs < namedAtMs + 18_000,
      );
      const {whole} = measureServing(late);
      assert.ok(whole > 0.05, `${seed}: ${whole} served`);
      const waitsMs = world.logs
        .filter(line => /given up .*"reason":"overloaded"/.test(line))
        .map(line => Number(/"ageMs":(\d+)/.exec(line)![1]));
      const atOnce = waitsMs.filter(waitMs => waitMs <= AT_ONCE_MS);
      assert.ok(waitsMs.length > 0);
      assert.ok(
        atOnce.length >= MIN_REFUSED_AT_ONCE * waitsMs.length,
        `${seed}: ${atOnce.length} of ${waitsMs.length} refused at once`,
      );
    }
  });
});

/** Drops all digests between nodes. */
function isolate(world: ServingWorld): void {
  world.exchange.isConnected = () => false;
}
