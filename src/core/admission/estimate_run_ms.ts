import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {usualMsPerToken} from '../routing/index.js';

/** Part of the expected output that nearly every answer reaches. */
const SURE_SHARE = 0.5;

/** Time that an answer takes at least, by what was learned of its length and speed; 0 when nothing was. */
export function estimateRunMs(step: Step, info: RequestInfo): number {
  const tokens = step.state.admission.lengths.learnedTokens(info) ?? 0;
  return SURE_SHARE * tokens * usualMsPerToken(step, info.service);
}
