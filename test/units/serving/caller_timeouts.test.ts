import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Route} from '../../../src/core/access/types.js';
import type {ServingRequest} from '../../../src/core/serving/types.js';
import {
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';
import {createServingState} from '../../../src/core/serving/index.js';
import {estimateFirstSentAtMs} from '../../../src/core/serving/caller_timeouts/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {SERVING_BOUNDS} from '../../../src/replay/serving/serving_bounds.js';

const TIMEOUT_MS = 6000;
/** The least patient callers wait this share of the time that the most patient ones wait. */
const LEAST_PATIENCE = 0.85;
const GOAL_MS = 250;
const ROUTE = {name: 'draft'} as Route;

function createEstimator() {
  const state = createServingState(
    {nodeId: makeId('node-1'), zone: makeId('zone-a'), callerAddress: ''},
    SERVING_BOUNDS,
    1,
  );
  /** Returns how long ago the caller is taken to have sent its first attempt. */
  return (callerTimeoutMs: number, arrivedAtMs: number): number =>
    arrivedAtMs -
    estimateFirstSentAtMs(state, ROUTE, {
      callerTimeoutMs,
      arrivedAtMs,
    } as ServingRequest);
}

/** Time-outs of first attempts, evenly spread over the patience of the callers. */
function drawTimeoutMs(random: {next(): number}): number {
  return TIMEOUT_MS * (1 - (1 - LEAST_PATIENCE) * random.next());
}

describe('the time that a caller has already spent', () => {
  // Guards against first attempts of impatient callers being placed behind those of patient ones.
  it('is below the latency goal for first attempts of callers that differ in patience', () => {
    const random = createRandom(1);
    const elapsed = createEstimator();
    let late = 0;
    for (let at = 0; at < 400; at += 1) {
      if (elapsed(drawTimeoutMs(random), at * 20) > GOAL_MS) late += 1;
    }
    assert.ok(late <= 8, `${late} of 400 first attempts taken for late ones`);
  });

  it('is seen of callers that come back after two seconds', () => {
    const random = createRandom(2);
    const elapsed = createEstimator();
    let seen = 0;
    for (let at = 0; at < 400; at += 1) {
      const isRetry = at % 4 === 3;
      const spentMs = isRetry ? 2000 : 0;
      const estimateMs = elapsed(drawTimeoutMs(random) - spentMs, at * 20);
      if (isRetry && at > 100 && estimateMs > GOAL_MS) seen += 1;
    }
    assert.ok(seen >= 70, `${seen} of 75 retries seen`);
  });

  it('is exact where all callers send the same time-out', () => {
    const elapsed = createEstimator();
    for (let at = 0; at < 32; at += 1) elapsed(TIMEOUT_MS, at * 20);
    assert.equal(elapsed(TIMEOUT_MS - 700, 700), 700);
    assert.equal(elapsed(TIMEOUT_MS, 700), 0);
  });

  // Guards against retries passing for first attempts when all callers come back at once.
  it('is still seen when only retries arrive after an outage', () => {
    const random = createRandom(3);
    const elapsed = createEstimator();
    for (let at = 0; at < 100; at += 1) elapsed(drawTimeoutMs(random), at * 20);
    let seen = 0;
    for (let at = 0; at < 100; at += 1) {
      const timeoutMs = drawTimeoutMs(random) - 2000;
      if (elapsed(timeoutMs, 4000 + at * 20) > GOAL_MS) seen += 1;
    }
    assert.ok(seen >= 95, `${seen} of 100 retries seen`);
  });

  it('does not follow a few callers that wait much longer', () => {
    const random = createRandom(4);
    const elapsed = createEstimator();
    let late = 0;
    for (let at = 0; at < 400; at += 1) {
      const factor = at % 25 === 24 ? 3 : 1;
      if (elapsed(factor * drawTimeoutMs(random), at * 20) > GOAL_MS) late += 1;
    }
    assert.ok(late <= 8, `${late} of 400 first attempts taken for late ones`);
  });
});

describe('a peak of requests of callers that differ in patience', () => {
  // Guards against a queue of late requests that outlasts the peak, since new requests count as late too.
  for (const seed of [1, 2]) {
    it(`is over soon after its end, seed ${seed}`, () => {
      const world = new ServingWorld({
        seed,
        nodeCount: 6,
        domainCount: 3,
        domainSize: 11,
      });
      world.runFor(8000);
      const startMs = world.nowMs;
      const random = createRandom(seed);
      sendLoad(world, createRandom(seed), {
        durationMs: 20_000,
        requestsPerS: atMs => (atMs > 4000 && atMs < 8000 ? 140 : 60),
        timeoutMsOf: () => drawTimeoutMs(random),
      });
      world.runFor(28_000);
      assert.deepEqual(world.violations, []);
      const after = world.outcomes.filter(
        ({arrivedAtMs}) => arrivedAtMs > startMs + 11_000,
      );
      const {onTime} = measureServing(after);
      assert.ok(onTime >= 0.9, `on time from 3 s after the peak: ${onTime}`);
    });
  }
});
