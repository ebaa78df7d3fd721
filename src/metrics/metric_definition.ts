/** Definition of one Prometheus metric. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'histogram' | 'gauge';
  readonly help: string;
  readonly labels: readonly string[];
  /** Upper bounds of a histogram's buckets, in the unit of the metric's name; required for histograms only. */
  readonly buckets?: readonly number[];
}
