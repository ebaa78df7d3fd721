import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  SERVING_MODELS,
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';

const ASSEMBLY_MS = 10_000;
const DOMAINS = 6;
/** One large replica, one small one, and a spare engine. */
const DOMAIN_SIZE = 13;
const LARGE_SIZE = 9;
const LOSSES = 9;
const LOSS_EVERY_MS = 2900;
const LOAD_MS = 32_000;

/** Loses two engines of a large replica every few seconds, permanently and without notice, and adds empty engines elsewhere. */
function loseInSeries(world: ServingWorld, lossesLeft: number): void {
  if (lossesLeft === 0) return;
  const lost = [...world.engines.values()]
    .filter(
      ({isUp, record: {models, membership}}) =>
        isUp &&
        models[0] === SERVING_MODELS.large &&
        membership !== undefined &&
        membership.rank > 0 &&
        membership.stage === 'ready',
    )
    .slice(0, 2);
  for (const {record} of lost) {
    world.crashEngine(record.vmId, {isSilent: true});
    world.addEngine(`d${lossesLeft % DOMAINS}`);
  }
  world.after(LOSS_EVERY_MS, () => loseInSeries(world, lossesLeft - 1));
}

describe('a large replica that lost members', () => {
  // Guards against the engines of each broken large replica going to small ones for good.
  for (const seed of [1, 2]) {
    it(`is completed by the engines of one small replica, seed ${seed}`, () => {
      const world = new ServingWorld({
        seed,
        nodeCount: 6,
        domainCount: DOMAINS,
        domainSize: DOMAIN_SIZE,
        largeSize: LARGE_SIZE,
      });
      world.runFor(ASSEMBLY_MS);
      sendLoad(world, createRandom(seed), {
        durationMs: LOAD_MS,
        requestsPerS: () => 45,
      });
      let least = Infinity;
      world.after(1000, () => loseInSeries(world, LOSSES));
      for (let at = 0; at < LOAD_MS; at += 500) {
        world.runFor(500);
        if (at % 2900 > 2300)
          least = Math.min(least, world.countServing(SERVING_MODELS.large));
      }
      world.runFor(8000);
      assert.deepEqual(world.violations, []);
      const large = measureServing(
        world.outcomes.filter(({model}) => model === SERVING_MODELS.large),
      );
      assert.ok(least >= 3, `${least} large replicas at the least`);
      assert.ok(large.onTime >= 0.9, JSON.stringify({least, large}));
    });
  }
});
