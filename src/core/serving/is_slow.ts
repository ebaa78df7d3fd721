import type {TargetLoad} from './types.js';

/** Ratio to the published pace above which a target counts as slow; reading of prompts between steps alone reaches about two. */
const SLOW_RATIO = 2.6;
const LEAST_PAUSES = 8;

/** Whether a target's streams are much slower than its published costs say. */
export function isSlow(load: TargetLoad): boolean {
  return load.pauseCount >= LEAST_PAUSES && load.slowness >= SLOW_RATIO;
}
