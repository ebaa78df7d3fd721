import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {usualMsPerToken} from '../routing/index.js';

/** Part of the expected output that nearly every answer reaches. */
const SURE_SHARE = 0.5;

/** Time that an answer takes at least, by its expected output and the usual speed of the service. */
export function estimateRunMs(step: Step, info: RequestInfo): number {
  const tokens = step.state.admission.lengths.expectedTokens(info);
  return SURE_SHARE * tokens * usualMsPerToken(step, info.service);
}
