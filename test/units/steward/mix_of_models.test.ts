import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  SERVING_MODELS,
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';

const SEEDS = [1, 2, 3];
const ASSEMBLY_MS = 8000;
const DOMAINS = 6;
const LOSSES = 9;
const LOSS_EVERY_MS = 2900;
const LOAD_MS = 36_000;
/** Users count it as a fault when a kind of request earns a smaller share of its credit than a less urgent kind, by more than this. */
const MAX_ON_TIME_GAP = 0.15;

/** Loses an engine of the large model every few seconds, permanently and without notice; adds an empty engine after every other loss. */
function loseInSeries(world: ServingWorld, lossesLeft: number): void {
  if (lossesLeft < 0) return;
  const engine = [...world.engines.values()].find(
    ({isUp, record: {models, membership}}) =>
      isUp &&
      models[0] === SERVING_MODELS.large &&
      membership?.rank === lossesLeft % 2 &&
      membership.stage !== 'joining',
  );
  if (engine) world.crashEngine(engine.record.vmId, {isSilent: true});
  if (lossesLeft % 2 === 1) world.addEngine(`d${lossesLeft % DOMAINS}`);
  world.after(LOSS_EVERY_MS, () => loseInSeries(world, lossesLeft - 1));
}

describe('the mix of models', () => {
  it('follows losses that come in series and all hit the larger model', () => {
    for (const seed of SEEDS) {
      const world = new ServingWorld({
        seed,
        nodeCount: 6,
        domainCount: DOMAINS,
        domainSize: 8,
      });
      world.runFor(ASSEMBLY_MS);
      sendLoad(world, createRandom(seed), {
        durationMs: LOAD_MS,
        requestsPerS: () => 45,
      });
      loseInSeries(world, LOSSES - 1);
      world.runFor(LOAD_MS + 8000);
      assert.deepEqual(world.violations, []);
      const [large, small] = Object.values(SERVING_MODELS).map(name =>
        measureServing(world.outcomes.filter(({model}) => model === name)),
      );
      const onTimeGap = small!.onTime - large!.onTime;
      assert.ok(onTimeGap <= MAX_ON_TIME_GAP, JSON.stringify({large, small}));
    }
  });
});
