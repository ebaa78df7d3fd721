import type {DemoOutcome} from './demo_outcome.js';

/** The end of a request, before the counts of its way are added. */
export type DemoEnd = Pick<DemoOutcome, 'end' | 'reason'> & {
  readonly lookedUp?: boolean;
};
