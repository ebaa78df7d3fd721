/** A node's measurements, read at `/metrics`. */
export interface NodeMetrics {
  /** Adds to a counter or a gauge, or observes into a histogram, by the metric's definition. */
  count(
    name: string,
    value: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
  /** Empties the gauges, which are filled anew for each reading. */
  resetGauges(): void;
  /** Prometheus text. */
  render(): Promise<string>;
}
