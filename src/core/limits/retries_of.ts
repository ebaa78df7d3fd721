import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {TokenBucket} from './token_bucket.js';

/** Initial retries of a service, before it has earned any. */
const INITIAL_RETRIES = 5;

/** Returns the retry budget of a request's service; creates it on first use. */
export function retriesOf(step: Step, info: RequestInfo): TokenBucket {
  const {retries} = step.state.limits;
  const known = retries.get(info.service);
  if (known) return known;
  const bucket = new TokenBucket(INITIAL_RETRIES, step.nowMs);
  retries.set(info.service, bucket);
  return bucket;
}
