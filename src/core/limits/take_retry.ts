import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Takes a retry from the service's budget; false when it is used up. */
export function takeRetry(_step: Step, _info: RequestInfo): boolean {
  return true;
}
