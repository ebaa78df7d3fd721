import type {OrganisationConfig} from '../config/types.js';
import type {Refusal} from '../errors/index.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {TokenBucket} from './token_bucket.js';
import {createRefusal} from '../errors/index.js';
import {earnRetry} from './earn_retry.js';
import {nodeShare} from './node_share.js';

const SECOND_MS = 1000;
/** Time of an organisation's rate that it may use as a burst. */
const BURST_MS = 2000;
/** Retry time when too many requests are in flight. */
const IN_FLIGHT_RETRY_MS = 1000;

/** Refuses a request over its organisation's limits; otherwise counts it as in flight. */
export function checkLimits(
  step: Step,
  info: RequestInfo,
): Refusal | undefined {
  const {organisation} = info;
  const {inFlight} = step.state.limits;
  const config = step.state.config.document.organisations.get(organisation);
  const used = inFlight.get(organisation) ?? 0;
  const limit = Math.ceil(nodeShare(step, config?.maxInFlight ?? 0));
  if (!config || used >= limit) {
    return refuse(step, info, IN_FLIGHT_RETRY_MS);
  }
  const waitMs = takeFromRate(step, config);
  if (waitMs > 0) return refuse(step, info, waitMs);
  inFlight.set(organisation, used + 1);
  earnRetry(step, info);
  return undefined;
}

/**
 * Takes a request from the organisation's rate and returns 0, or returns the
 * time until the next in milliseconds.
 */
function takeFromRate(step: Step, config: OrganisationConfig): number {
  const {rates} = step.state.limits;
  const perMs = nodeShare(step, config.maxRequestsPerSecond) / SECOND_MS;
  const bound = Math.max(1, perMs * BURST_MS);
  let bucket = rates.get(config.name);
  if (!bucket) {
    bucket = new TokenBucket(bound, step.nowMs);
    rates.set(config.name, bucket);
  }
  bucket.refill(step.nowMs, perMs, bound);
  return bucket.take() ? 0 : bucket.waitMs(perMs);
}

/** Adds jitter to the retry time, so that callers refused together do not return together. */
function refuse(step: Step, info: RequestInfo, waitMs: number): Refusal {
  const jitter = 1 + step.state.random.next() / 2;
  return createRefusal('RateLimited', 'not-run', {
    params: {organisation: info.organisation},
    retryAfterMs: waitMs * jitter,
  });
}
