import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PromptPartId} from '../../../src/core/ids/index.js';
import {
  SERVING_MODELS,
  ServingWorld,
  measureServing,
  sendLoad,
} from '../../../src/replay/serving/index.js';
import {createRandom} from '../../../src/core/random/index.js';
import {makeId} from '../../../src/core/ids/index.js';

const ASSEMBLY_MS = 8000;
const LOAD_MS = 24_000;
/** Requests with crashing parts come from here on. */
const FAULT_AT_MS = 3000;
const TAIL_MS = 8000;
const CONTACT_MS = 3000;
/** Crashes from which on the time for nodes to exchange their evidence counts. */
const FREE_CRASHES = 5;
const MAX_LATE_ARRIVALS = 3;
const FIRST_PART_COUNT = 8;
const SOUND_PARTS = 30;

const part = (name: string) => makeId<PromptPartId>(name);

interface CrashScenario {
  readonly seed: number;
  readonly nodeCount?: number;
  /** Requests per second with each crashing part. */
  readonly crashingPerS?: number;
  readonly crashingParts?: readonly string[];
  readonly requestsPerS?: number;
  readonly fault?: (world: ServingWorld) => void;
}

/** Simulates sound requests that share first parts and some second parts, beside requests with crashing second parts under the same first part. */
function simulate(scenario: CrashScenario): ServingWorld {
  const {seed, crashingPerS = 1, crashingParts = ['bad']} = scenario;
  const world = new ServingWorld({
    seed,
    nodeCount: scenario.nodeCount ?? 6,
    domainCount: 3,
    domainSize: 11,
  });
  const random = createRandom(seed);
  world.runFor(ASSEMBLY_MS);
  sendLoad(world, random, {
    durationMs: LOAD_MS,
    requestsPerS: () => scenario.requestsPerS ?? 40,
    sharedPartsOf: kind => [
      part(`first-${random.nextInt(FIRST_PART_COUNT)}`),
      ...(kind === 'chat' ? [part(`doc-${random.nextInt(SOUND_PARTS)}`)] : []),
    ],
  });
  world.after(FAULT_AT_MS, () => {
    for (const name of crashingParts) {
      world.network.crashingPartIds.add(part(name));
      sendCrashing(world, name, crashingPerS);
    }
    scenario.fault?.(world);
  });
  world.runFor(LOAD_MS + TAIL_MS);
  return world;
}

function sendCrashing(world: ServingWorld, name: string, perS: number): void {
  for (let atMs = 0; atMs < LOAD_MS - FAULT_AT_MS; atMs += 1000 / perS) {
    world.after(atMs, () =>
      world.send({
        kind: 'chat',
        path: '/chat/',
        model: SERVING_MODELS.large,
        sharedPartIds: [part('first-0'), part(name)],
        promptTokens: 1400,
        events: 29,
      }),
    );
  }
}

/** When all nodes must have the evidence against a part; undefined if it has crashed too few engines. */
function resolveContainedAtMs(
  {crashesByParts}: ServingWorld,
  partId: PromptPartId,
): number | undefined {
  const crashes = crashesByParts.filter(one => one.partId === partId);
  const fifth = crashes[FREE_CRASHES - 1];
  return fifth && fifth.atMs + CONTACT_MS;
}

/** Share of the sound requests under the crashing parts' first part that began in time, from the rule's start on. */
function shareOfSoundServed({
  crashesByParts,
  network,
  outcomes,
}: ServingWorld): number {
  const last = crashesByParts[FREE_CRASHES - 1] ?? crashesByParts.at(-1);
  const fromMs = last!.atMs + 2 * CONTACT_MS;
  const sound = outcomes.filter(
    ({sharedPartIds, arrivedAtMs}) =>
      arrivedAtMs > fromMs &&
      sharedPartIds[0] === 'first-0' &&
      !sharedPartIds.some(one => network.crashingPartIds.has(one)),
  );
  assert.ok(sound.length >= 20, `${sound.length} sound requests`);
  return measureServing(sound).onTime;
}

function assertContained(world: ServingWorld, label: string): void {
  const {crashingArrivals, crashingPartIds} = world.network;
  for (const partId of crashingPartIds) {
    assert.ok(world.crashesByParts.some(one => one.partId === partId));
    const fromMs = resolveContainedAtMs(world, partId) ?? Infinity;
    const late = crashingArrivals.filter(
      one => one.partId === partId && one.atMs > fromMs,
    );
    assert.ok(
      late.length <= MAX_LATE_ARRIVALS,
      `${label}: ${late.length} late arrivals with ${partId}`,
    );
  }
  const served = shareOfSoundServed(world);
  assert.ok(served >= 0.9, `${label}: ${served} of the sound requests served`);
  assert.deepEqual(world.violations, []);
}

describe('a prompt part that crashes each engine', () => {
  it('stops reaching engines although no two requests with it are alike', () => {
    for (const seed of [1, 2, 3]) {
      assertContained(simulate({seed}), `seed ${seed}`);
    }
  });

  it('stops reaching engines when each crash is first seen by another node', () => {
    for (const seed of [1, 2]) {
      const world = simulate({seed, nodeCount: 18, crashingPerS: 0.4});
      assertContained(world, `seed ${seed}`);
    }
  });

  it('stops reaching engines when digests go through relays', () => {
    for (const seed of [1, 2]) {
      const world = simulate({seed, nodeCount: 36, crashingPerS: 2});
      assertContained(world, `seed ${seed}`);
    }
  });

  it('stops reaching engines beside a second such part', () => {
    for (const seed of [1, 2, 3]) {
      const crashingParts = ['bad', 'worse'];
      const world = simulate({seed, crashingParts, crashingPerS: 0.7});
      assertContained(world, `seed ${seed}`);
    }
  });

  it('stops reaching engines through nodes that restart in between', () => {
    for (const seed of [1, 2]) {
      const world = simulate({
        seed,
        fault: one => {
          for (let at = 0; at < 6; at++) {
            one.after(6000 + 1500 * at, () => one.restartNode(at, 1000));
          }
        },
      });
      assertContained(world, `seed ${seed}`);
    }
  });
});
