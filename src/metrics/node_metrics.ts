/** A node's metrics, served at `/metrics`. */
export interface NodeMetrics {
  /** Adds a value to a counter or gauge, or observes it in a histogram, depending on the metric's definition. */
  count(
    name: string,
    value: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
  /** Resets all gauges, which are recomputed for each scrape. */
  resetGauges(): void;
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>;
}
