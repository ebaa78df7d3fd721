import type {OutcomeBound} from './outcome_bound.js';

/** An expected outcome with its measurement. */
export interface Outcome {
  readonly name: string;
  readonly bound: OutcomeBound;
  /** Undefined when the scenario has no such measure. */
  readonly measured?: number;
  readonly isMet: boolean;
}
