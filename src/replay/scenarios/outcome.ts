import type {OutcomeBound} from './outcome_bound.js';

/** A stated outcome beside what was measured. */
export interface Outcome {
  readonly name: string;
  readonly bound: OutcomeBound;
  /** Undefined when the scenario has no such measure. */
  readonly measured?: number;
  readonly isMet: boolean;
}
