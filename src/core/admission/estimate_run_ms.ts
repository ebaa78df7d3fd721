import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {averageMsPerToken} from '../routing/index.js';

/** Fraction of the expected output that nearly every response reaches. */
const CERTAIN_OUTPUT_SHARE = 0.5;

/** Estimated minimum run time of a request, by its learned length and speed; 0 while either is unknown. */
export function estimateRunMs(step: Step, info: RequestInfo): number {
  const tokens = step.state.admission.lengths.learnedTokens(info) ?? 0;
  return CERTAIN_OUTPUT_SHARE * tokens * averageMsPerToken(step, info.service);
}
