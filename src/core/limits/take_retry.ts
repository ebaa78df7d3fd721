import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {retriesOf} from './retries_of.js';

/** Takes a retry from the service's budget, a tenth of first tries; false when it is used up. */
export function takeRetry(step: Step, info: RequestInfo): boolean {
  if (!step.state.admission.options.retryBudget) return true;
  return retriesOf(step, info).take();
}
