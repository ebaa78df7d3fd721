/** A node's measurements, read at `/metrics`. */
export interface NodeMetrics {
  /** Adds to a counter, or observes into a histogram, by the metric's definition. */
  count(
    name: string,
    value: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
  /** Prometheus text. */
  render(): Promise<string>;
}
