import type {SchedulingOptions} from './scheduling_options.js';

/** Options that nodes run with: all mechanisms are on. */
export const DEFAULT_SCHEDULING: SchedulingOptions = {
  shortFirst: true,
  longShare: true,
  pauses: true,
  fairness: true,
  deadlineRefusal: true,
  retryBudget: true,
  prefixAffinity: true,
  relativeSpeed: true,
  ejection: true,
  credits: true,
  loadCorrection: true,
};
