import type {CallerOutcome} from '../../src/replay/serving/index.js';
import type {Organisation} from '../../src/core/access/types.js';
import type {OrganisationId} from '../../src/core/ids/index.js';
import type {Random} from '../../src/core/random/index.js';
import {
  SERVING_MODELS,
  ServingWorld,
  measureServing,
} from '../../src/replay/serving/index.js';
import {createRandom} from '../../src/core/random/index.js';
import {makeId} from '../../src/core/ids/index.js';

const MS_PER_S = 1000;
const MAX_SEED = 2 ** 31;
const ASSEMBLY_MS = 8000;
const TAIL_MS = 9000;
/** Sizes of prompts and responses, as multiples of the mean. */
const MAX_SIZE_FACTOR = 3;

/** A flow of requests of one kind and organisation. */
export interface LoadFlow {
  readonly kind: 'chat' | 'draft' | 'summary';
  /** Number of the organisation; its API key is `key-` and the number. */
  readonly organisation: number;
  readonly requestsPerS: number;
  readonly fromMs?: number;
  readonly toMs?: number;
  /** Index of the node that gets all of it. */
  readonly nodeIndex?: number;
}

/** A load on a simulated fleet with 24 organisations. */
export interface FairLoad {
  readonly seed: number;
  readonly durationMs: number;
  readonly flows: readonly LoadFlow[];
  /** Priorities of the routes. */
  readonly priorities?: Readonly<Record<string, number>>;
  /** Whether the API keys belong to 24 organisations; otherwise to one, which disables fair queueing. */
  readonly isFair: boolean;
  readonly weightOf?: (organisation: number) => number;
  readonly nodeCount?: number;
  /** Called when the load begins. */
  readonly onStart?: (world: ServingWorld) => void;
}

/** Number of organisations of a fair load. */
const ORGANISATION_COUNT = 24;
const KINDS = {
  chat: {model: SERVING_MODELS.large, promptTokens: 1420, events: 29},
  draft: {model: SERVING_MODELS.small, promptTokens: 674, events: 31},
  summary: {model: SERVING_MODELS.small, promptTokens: 1960, events: 24},
} as const;

/** Simulates a load and returns the world after it. */
export function runFairLoad(load: FairLoad): ServingWorld {
  const organisationsByKey = new Map<string, Organisation>();
  for (let at = 0; at < ORGANISATION_COUNT; at++) {
    organisationsByKey.set(`key-${at}`, {
      organisationId: makeId<OrganisationId>(
        load.isFair ? `organisation-${at}` : 'organisation',
      ),
      weight: load.weightOf?.(at),
    });
  }
  const world = new ServingWorld({
    seed: load.seed,
    nodeCount: load.nodeCount ?? 6,
    domainCount: 3,
    domainSize: 11,
    access: {organisationsByKey, priorities: load.priorities},
  });
  world.runFor(ASSEMBLY_MS);
  const seeds = createRandom(load.seed);
  seeds.next(); // the first number of a small seed is always close to 1
  for (const flow of load.flows) {
    const random = createRandom(seeds.nextInt(MAX_SEED));
    sendFlow(world, random, flow, load.durationMs);
  }
  load.onStart?.(world);
  world.runFor(load.durationMs + TAIL_MS);
  return world;
}

function sendFlow(
  world: ServingWorld,
  random: Random,
  flow: LoadFlow,
  durationMs: number,
): void {
  const {model, promptTokens, events} = KINDS[flow.kind];
  const toMs = Math.min(durationMs, flow.toMs ?? Infinity);
  let atMs = flow.fromMs ?? 0;
  for (;;) {
    atMs += (-Math.log(1 - random.next()) * MS_PER_S) / flow.requestsPerS;
    if (atMs >= toMs) return;
    const size = sampleSize(random);
    const length = sampleSize(random);
    world.after(atMs, () =>
      world.send({
        kind: flow.kind,
        path: `/${flow.kind}/`,
        model,
        apiKey: `key-${flow.organisation}`,
        nodeIndex: flow.nodeIndex,
        promptTokens: Math.round(promptTokens * size),
        events: Math.max(1, Math.round(events * length)),
      }),
    );
  }
}

function sampleSize(random: Random): number {
  return Math.min(MAX_SIZE_FACTOR, 0.1 - 0.9 * Math.log(1 - random.next()));
}

/** Shares of complete and of on-time responses, by a property of the requests. */
export function measureBy(
  outcomes: readonly CallerOutcome[],
  keyOf: (outcome: CallerOutcome) => string,
): Map<string, ReturnType<typeof measureServing>> {
  const groups = new Map<string, CallerOutcome[]>();
  for (const outcome of outcomes) {
    const group = groups.get(keyOf(outcome));
    if (group) group.push(outcome);
    else groups.set(keyOf(outcome), [outcome]);
  }
  return new Map(
    [...groups].map(([key, group]) => [key, measureServing(group)]),
  );
}
