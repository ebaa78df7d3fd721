import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {TokenBucket} from './token_bucket.js';

/** Retries that a quiet service may make before it earned any. */
const FIRST_RETRIES = 5;

/** The budget of retries of a request's service. */
export function retriesOf(step: Step, info: RequestInfo): TokenBucket {
  const {retries} = step.state.limits;
  const known = retries.get(info.service);
  if (known) return known;
  const bucket = new TokenBucket(FIRST_RETRIES, step.nowMs);
  retries.set(info.service, bucket);
  return bucket;
}
