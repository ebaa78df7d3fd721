/** How one measurement is kept. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'histogram' | 'gauge';
  readonly help: string;
  readonly labels: readonly string[];
  /** Upper bounds of a histogram's buckets, in the unit of its name. */
  readonly buckets?: readonly number[];
}
