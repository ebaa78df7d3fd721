import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {retriesOf} from './retries_of.js';

/** Retries that one first try allows. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 20;

/** Counts a first try into its service's budget of retries. */
export function earnRetry(step: Step, info: RequestInfo): void {
  retriesOf(step, info).add(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
}
