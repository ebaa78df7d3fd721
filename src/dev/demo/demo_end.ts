import type {DemoOutcome} from './demo_outcome.js';

/** The end of a request, without the counts of refusals before it. */
export type DemoEnd = Pick<DemoOutcome, 'end' | 'reason'> & {
  readonly lookedUp?: boolean;
};
