import type {OutcomeBound} from './outcome_bound.js';

/** First line of a trace. */
interface TraceHead {
  readonly kind: 'trace';
  /** Name of the scenario that replays the trace. */
  readonly scenario: string;
  readonly seed: number;
  /** Bounds on the scenario's measures, by name of the measure. */
  readonly outcomes: Readonly<Record<string, OutcomeBound>>;
  /** Further parameters of the scenario. */
  readonly [key: string]: unknown;
}

/** A trace file: a head, then one JSON value per line. */
export interface Trace {
  readonly head: TraceHead;
  readonly lines: readonly unknown[];
}
