import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {retriesOf} from './retries_of.js';

/** Takes a retry from the service's budget, a tenth of first attempts; false when it is exhausted. */
export function takeRetry(step: Step, info: RequestInfo): boolean {
  if (!step.state.admission.options.retryBudget) return true;
  return retriesOf(step, info).take();
}
