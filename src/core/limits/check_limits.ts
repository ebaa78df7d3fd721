import type {OrganisationConfig} from '../config/types.js';
import type {Refusal} from '../errors/index.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {TokenBucket} from './token_bucket.js';
import {createRefusal} from '../errors/index.js';
import {earnRetry} from './earn_retry.js';
import {nodeShare} from './node_share.js';

const SECOND_MS = 1000;
/** Time of an organisation's rate that it may use at once. */
const BURST_MS = 2000;
const FULL_RETRY_MS = 1000;

/** Refuses a request over its organisation's limits; otherwise counts it in. */
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
    return refuse(step, info, FULL_RETRY_MS);
  }
  const waitMs = takeFromRate(step, config);
  if (waitMs > 0) return refuse(step, info, waitMs);
  inFlight.set(organisation, used + 1);
  earnRetry(step, info);
  return undefined;
}

/** Takes a request from the organisation's rate; otherwise the time until the next. */
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

/** Spreads the return of callers that were refused together. */
function refuse(step: Step, info: RequestInfo, waitMs: number): Refusal {
  const spread = 1 + step.state.random.next() / 2;
  return createRefusal('RateLimited', 'not-run', {
    params: {organisation: info.organisation},
    retryAfterMs: waitMs * spread,
  });
}
