import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {VmId} from '../../../src/core/ids/index.js';
import {
  SERVING_MODELS,
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';

const ASSEMBLY_MS = 8000;
const LOAD_MS = 14_000;
const END_MS = 3000;
/** More than the replicas that are left can serve. */
const REQUESTS_PER_S = 100;
const SEEDS = [1, 2, 3];
const COLD = {coldMs: 3000, coldRequestsPerS: 17};

interface Measures {
  onTime: number;
  /** Most requests that reached a newly opened target within a second, and within 100 ms. */
  busiestSecond: number;
  busiestBurst: number;
  /** Requests at a newly opened target from 1.5 to 4.5 s after it opened. */
  laterCount: number;
  crashCount: number;
}

/** Simulates a load that needs all replicas, in which heads crash and replicas open one after the other; sums over the seeds. */
function measure(learnsPace: boolean, isCold: boolean): Measures {
  const total: Measures = {
    onTime: 0,
    busiestSecond: 0,
    busiestBurst: 0,
    laterCount: 0,
    crashCount: 0,
  };
  for (const seed of SEEDS) {
    const world = new ServingWorld({
      seed,
      nodeCount: 12,
      domainCount: 4,
      domainSize: 11,
      service: {...(isCold && COLD), learnsPace},
      hidesColdness: true,
    });
    world.runFor(ASSEMBLY_MS);
    const opened: {vmId: VmId; atMs: number}[] = [];
    const recordOpen = world.recordOpen.bind(world);
    world.recordOpen = vmId => {
      opened.push({vmId, atMs: world.nowMs});
      recordOpen(vmId);
    };
    sendLoad(world, createRandom(seed), {
      durationMs: LOAD_MS,
      requestsPerS: () => REQUESTS_PER_S,
    });
    for (const atMs of [2000, 4000, 6000, 8000]) {
      world.after(atMs, () => crashHeads(world));
    }
    world.runFor(LOAD_MS + END_MS);
    total.onTime += measureServing(world.outcomes).onTime / SEEDS.length;
    total.crashCount += world.coldness.crashCount;
    for (const {vmId, atMs} of opened) {
      const times = world.network.arrivals
        .filter(one => one.vmId === vmId && one.atMs >= atMs)
        .map(one => one.atMs);
      const countFrom = (fromMs: number, forMs: number) =>
        times.filter(one => one >= fromMs && one < fromMs + forMs).length;
      total.laterCount += countFrom(atMs + 1500, 3000);
      for (const one of times.filter(time => time < atMs + 3000)) {
        total.busiestSecond = Math.max(
          total.busiestSecond,
          countFrom(one, 1000),
        );
        total.busiestBurst = Math.max(total.busiestBurst, countFrom(one, 100));
      }
    }
  }
  return total;
}

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

describe('replicas that open one after the other under high load', () => {
  it('get no burst with the slow start, and callers no fewer answers on time', t => {
    // Guards against the flood of a new target, and against a slow start that costs callers more than the flood.
    const without = measure(false, false);
    const learned = measure(true, false);
    t.diagnostic(JSON.stringify({without, learned}));
    assert.ok(learned.busiestBurst <= without.busiestBurst / 2);
    assert.ok(learned.busiestSecond <= 0.8 * without.busiestSecond);
    assert.ok(learned.onTime >= without.onTime);
  });

  it('are used as much with it once they have recovered', () => {
    // Guards against a pace that leaves a recovered target idle.
    const without = measure(false, false);
    const learned = measure(true, false);
    assert.ok(learned.laterCount >= 0.9 * without.laterCount);
  });

  it('crash less often with it where nothing says that they are cold', t => {
    const without = measure(false, true);
    const learned = measure(true, true);
    t.diagnostic(JSON.stringify({without, learned}));
    assert.ok(without.crashCount > 0);
    assert.ok(learned.crashCount <= without.crashCount / 2);
  });
});
