import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';

const ASSEMBLY_MS = 8000;
const CUT_AT_MS = 4000;
/** An entry lapses 3.6 s after the last heartbeat, so that it is missing for 1.2 s. */
const CUT_MS = 4800;
const CUT_SHARE = 0.12;
const LOAD_MS = 14_000;

/** Partitions a part of the engines from the store under load, and counts the replicas meanwhile. */
function partitionEngines(seed: number, drainMs?: number) {
  const world = new ServingWorld({
    seed,
    nodeCount: 6,
    domainCount: 6,
    domainSize: 11,
    bounds: {drainMs},
  });
  world.runFor(ASSEMBLY_MS);
  const startMs = world.nowMs;
  const random = createRandom(seed);
  sendLoad(world, random, {durationMs: LOAD_MS, requestsPerS: () => 90});
  world.after(CUT_AT_MS, () => {
    for (const vmId of world.engines.keys()) {
      if (random.next() < CUT_SHARE) world.dropHeartbeats(vmId, CUT_MS);
    }
  });
  world.runFor(CUT_AT_MS + CUT_MS - 100);
  const [node] = world.nodes;
  const serving = node!.state.targets.size;
  world.runFor(LOAD_MS);
  assert.deepEqual(world.violations, []);
  const cut = world.outcomes.filter(({arrivedAtMs}) => {
    const atMs = arrivedAtMs - startMs;
    return atMs > CUT_AT_MS + 3600 && atMs < CUT_AT_MS + CUT_MS + 1000;
  });
  return {serving, ...measureServing(cut)};
}

describe('engines whose entries lapse while they serve', () => {
  // Guards against a part of all replicas being taken apart because some members miss heartbeats for a moment.
  for (const seed of [1, 2, 3]) {
    it(`keep their replicas until the grace period is over, seed ${seed}`, () => {
      const {serving, onTime, failed} = partitionEngines(seed, 3000);
      assert.equal(serving, 12, 'all replicas serve during the partition');
      assert.ok(onTime >= 0.97, `on time ${onTime}`);
      assert.ok(failed <= 0.005, `failed ${failed}`);
    });
  }

  // Guards against requests to an engine that left without notice: it serves for `drainMs` only.
  it('get no request later than the time for which a leaving engine serves', () => {
    const world = new ServingWorld({
      seed: 1,
      nodeCount: 6,
      domainCount: 3,
      domainSize: 11,
      bounds: {drainMs: 3000},
    });
    world.runFor(ASSEMBLY_MS);
    const [node] = world.nodes;
    const vmId = [...node!.state.targets.keys()][0]!;
    world.dropHeartbeats(vmId, 20_000);
    world.runFor(3600 + 1000);
    assert.ok(node!.state.targets.has(vmId), 'kept for the grace period');
    world.runFor(1000);
    for (const {state} of world.nodes) {
      assert.ok(!state.targets.has(vmId), 'no target after the grace period');
    }
  });
});
