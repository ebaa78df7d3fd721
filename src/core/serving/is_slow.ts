import type {TargetLoad} from './types.js';

/** Ratio of measured to expected event gaps above which a target counts as slow; prompt processing between steps alone reaches about two. */
const SLOW_RATIO = 2.6;
/** Number of measured gaps below which a target does not count as slow. */
const MIN_GAP_COUNT = 8;

/** Whether a target's streams are much slower than its published cost model predicts. */
export function isSlow(load: TargetLoad): boolean {
  return load.gapCount >= MIN_GAP_COUNT && load.gapRatio >= SLOW_RATIO;
}
