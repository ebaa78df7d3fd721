import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {retriesOf} from './retries_of.js';

/** Retries earned by one first attempt. */
const RETRIES_PER_REQUEST = 0.1;
/** Maximum retries that are saved up. */
const MAX_SAVED_RETRIES = 20;

/** Adds the retries earned by a first attempt to its service's retry budget. */
export function earnRetry(step: Step, info: RequestInfo): void {
  retriesOf(step, info).add(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
}
