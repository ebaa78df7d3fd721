import type {LoadFleet} from '../load/load_fleet.js';
import type {LoadLine} from '../load/load_line.js';
import type {LoadTracePlan} from './load_trace_plan.js';
import type {Random} from '../../core/random/index.js';
import {createRandom} from '../../core/random/index.js';

const CLIENTS_PER_WEIGHT = 6;
const PREFIXES_PER_ORGANISATION = 4;
const LONG_DEADLINE_MS = 240_000;
const SHORT_MEDIAN_TOKENS = 45;
const SHORT_SPREAD = 0.7;
const SHORT_MAX_TOKENS = 400;
const LONG_MIN_TOKENS = 1000;
const LONG_MAX_TOKENS = 5000;
const LONG_TAIL = 1.2;
const SHORT_OUTPUT_LIMIT = 512;
const LONG_OUTPUT_LIMIT = 8192;
/** Share of requests that send an output limit. */
const OUTPUT_LIMIT_SHARE = 0.6;
const APPLICATION_SHARE = 0.1;
/** Typical duration of a long stream; determines how many are in progress when the trace begins. */
const LONG_MEAN_MS = 60_000;

const ORGANISATIONS = [
  ['piñata-labs', 6],
  ['levee-row', 6],
  ['hamilton-tutors', 3],
  ['napier-bakery', 2],
  ['canal-stables', 2],
  ['river-barns', 1],
  ['festival-shop', 1],
  ['school-parties', 1],
  ['farriers', 1],
  ['owners', 1],
] as const;

interface DrawnClient {
  readonly client: string;
  readonly prefix: number;
}

/**
 * Generates the text of a load trace: a head with the fleet and the expected
 * outcomes, then the requests.
 */
export function generateLoadTrace(plan: LoadTracePlan): string {
  const random = createRandom(plan.seed);
  const requests = [
    ...drawInProgress(plan, random),
    ...drawArrivals(plan, random),
  ];
  const head = {
    kind: 'trace',
    scenario: plan.scenario,
    seed: plan.seed,
    outcomes: plan.outcomes,
    fleet: createFleet(plan),
  };
  const lines = [head, ...requests].map(line => JSON.stringify(line));
  return lines.join('\n') + '\n';
}

function createFleet(plan: LoadTracePlan): LoadFleet {
  const untilMs = plan.warmMs + plan.crestMs + plan.afterMs;
  return {
    nodes: 18,
    services: [
      {
        name: 'chat',
        kind: 'model',
        engines: 65,
        engine: {
          slots: 8,
          tokenMs: 20,
          batchCost: 0.08,
          prefillMsPerToken: 0.1,
          cachedPrefixes: 12,
        },
      },
      {
        name: 'stock',
        kind: 'application',
        engines: 3,
        engine: {
          slots: 16,
          tokenMs: 15,
          batchCost: 0.02,
          prefillMsPerToken: 0,
          cachedPrefixes: 0,
        },
      },
    ],
    organisations: ORGANISATIONS.map(([name, weight]) => ({name, weight})),
    stragglers: [
      {service: 'chat', engine: 11, slowdown: 3, fromMs: 5000, untilMs},
    ],
    refusers: plan.refusers.map(engine => ({
      service: 'chat',
      engine,
      fromMs: plan.warmMs,
      untilMs: plan.warmMs + plan.crestMs,
    })),
    reportIntervalMs: 500,
    reportLagMs: 100,
    crestFromMs: plan.warmMs,
    crestUntilMs: plan.warmMs + plan.crestMs,
  };
}

/** Long streams that began before the trace, spread over its first 2 s. */
function drawInProgress(plan: LoadTracePlan, random: Random): LoadLine[] {
  const perSecond = plan.usualPerSecond * plan.longShare;
  const count = Math.round((perSecond * LONG_MEAN_MS) / 1000);
  return Array.from({length: count}, (_, at) => {
    const request = drawLong(random, (at * 2000) / count);
    const remaining = Math.ceil(request.outputTokens * random.next());
    return {...request, outputTokens: remaining};
  });
}

function drawArrivals(plan: LoadTracePlan, random: Random): LoadLine[] {
  const peakEndMs = plan.warmMs + plan.crestMs;
  const endMs = peakEndMs + plan.afterMs;
  const requests: LoadLine[] = [];
  let atMs = 2000;
  for (;;) {
    const isPeak = atMs >= plan.warmMs && atMs < peakEndMs;
    const factor = isPeak ? plan.crestFactor : 1;
    const meanMs = 1000 / (plan.usualPerSecond * factor);
    atMs += -Math.log(1 - random.next()) * meanMs;
    if (atMs >= endMs) return requests;
    const isBurst = isPeak && random.next() < (plan.burst?.share ?? 0);
    const request = isBurst
      ? drawShort(random, Math.round(atMs), plan.burst!.organisation)
      : drawRequest(plan, random, Math.round(atMs));
    requests.push(request);
  }
}

function drawRequest(
  plan: LoadTracePlan,
  random: Random,
  atMs: number,
): LoadLine {
  if (random.next() < APPLICATION_SHARE) return drawApplication(random, atMs);
  return random.next() < plan.longShare
    ? drawLong(random, atMs)
    : drawShort(random, atMs);
}

function drawApplication(random: Random, atMs: number): LoadLine {
  return {
    atMs,
    client: drawClient(random).client,
    service: 'stock',
    promptTokens: 0,
    outputTokens: 1 + random.nextInt(4),
  };
}

function drawShort(random: Random, atMs: number, burst?: string): LoadLine {
  const {client, prefix} = drawClient(random, burst);
  const size =
    SHORT_MEDIAN_TOKENS * Math.exp(SHORT_SPREAD * drawNormal(random));
  const hasLimit = random.next() < OUTPUT_LIMIT_SHARE;
  return {
    atMs,
    client,
    promptTokens: 100 + random.nextInt(900),
    outputTokens: Math.min(SHORT_MAX_TOKENS, Math.max(4, Math.round(size))),
    ...(hasLimit ? {maxOutputTokens: SHORT_OUTPUT_LIMIT} : {}),
    prefix,
  };
}

function drawLong(random: Random, atMs: number): LoadLine {
  const {client, prefix} = drawClient(random);
  const size = LONG_MIN_TOKENS / Math.pow(1 - random.next(), 1 / LONG_TAIL);
  const hasLimit = random.next() < OUTPUT_LIMIT_SHARE;
  return {
    atMs,
    client,
    promptTokens: 300 + random.nextInt(1500),
    outputTokens: Math.min(LONG_MAX_TOKENS, Math.round(size)),
    ...(hasLimit ? {maxOutputTokens: LONG_OUTPUT_LIMIT} : {}),
    prefix,
    deadlineMs: LONG_DEADLINE_MS,
  };
}

/** Draws a client; organisations with a larger weight have more clients. */
function drawClient(random: Random, burst?: string): DrawnClient {
  if (burst !== undefined) return createClient(random, burst, 1);
  const total = ORGANISATIONS.reduce((sum, [, weight]) => sum + weight, 0);
  let remaining = random.nextInt(total);
  for (const [name, weight] of ORGANISATIONS) {
    remaining -= weight;
    if (remaining >= 0) continue;
    return createClient(random, name, weight);
  }
  throw new Error('weights are not positive');
}

function createClient(
  random: Random,
  name: string,
  weight: number,
): DrawnClient {
  const client = `${name}/${random.nextInt(weight * CLIENTS_PER_WEIGHT)}`;
  return {client, prefix: random.nextInt(PREFIXES_PER_ORGANISATION)};
}

function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
