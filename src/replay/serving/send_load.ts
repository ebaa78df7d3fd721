import type {PromptPartId} from '../../core/ids/index.js';
import type {Random} from '../../core/random/index.js';
import type {ServingWorld} from './serving_world.js';
import {SERVING_MODELS} from './serving_models.js';

const MS_PER_S = 1000;
const REQUEST_KINDS = [
  {
    kind: 'chat',
    path: '/chat/',
    model: SERVING_MODELS.large,
    share: 0.22,
    promptTokens: 1420,
    events: 29,
  },
  {
    kind: 'draft',
    path: '/draft/',
    model: SERVING_MODELS.small,
    share: 0.6,
    promptTokens: 674,
    events: 31,
  },
  {
    kind: 'summary',
    path: '/summary/',
    model: SERVING_MODELS.large,
    share: 0.18,
    promptTokens: 1960,
    events: 4,
  },
] as const;
const SIZE_FACTOR_LIMIT = 3;

interface LoadShape {
  readonly durationMs: number;
  /** Request rate at `atMs` after the start of the load, in requests per second. */
  readonly requestsPerS: (atMs: number) => number;
  /** Shared parts of a request's prompt; none by default. */
  readonly sharedPartsOf?: (kind: string) => readonly PromptPartId[];
  /** Time-out that a caller sends; that of the route by default. */
  readonly timeoutMsOf?: (kind: string) => number;
}

/** Schedules a mix of streaming requests of different sizes, with Poisson arrivals. */
export function sendLoad(
  world: ServingWorld,
  random: Random,
  shape: LoadShape,
): void {
  let atMs = 0;
  while (atMs < shape.durationMs) {
    atMs +=
      (-Math.log(1 - random.next()) * MS_PER_S) / shape.requestsPerS(atMs);
    const requestKind = selectKind(random.next());
    const sizeFactor = sampleSizeFactor(random);
    world.after(atMs, () =>
      world.send({
        kind: requestKind.kind,
        path: requestKind.path,
        model: requestKind.model,
        callerTimeoutMs: shape.timeoutMsOf?.(requestKind.kind),
        sharedPartIds: shape.sharedPartsOf?.(requestKind.kind) ?? [],
        promptTokens: Math.round(requestKind.promptTokens * sizeFactor),
        events: Math.max(
          1,
          Math.round(requestKind.events * sampleSizeFactor(random)),
        ),
      }),
    );
  }
}

function selectKind(fraction: number): (typeof REQUEST_KINDS)[number] {
  let remaining = fraction;
  for (const requestKind of REQUEST_KINDS) {
    remaining -= requestKind.share;
    if (remaining < 0) return requestKind;
  }
  return REQUEST_KINDS[0];
}

/** Samples a truncated exponential distribution with mean close to 1: most requests are short, a few are long. */
function sampleSizeFactor(random: Random): number {
  return Math.min(SIZE_FACTOR_LIMIT, 0.1 - 0.9 * Math.log(1 - random.next()));
}
