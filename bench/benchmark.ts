/** A benchmark; its results are ratios to a baseline of the same run. */
export interface Benchmark {
  readonly name: string;
  readonly description: string;
  /** Runs the benchmark and prints its results; `args` are the arguments after its name. */
  run(args: readonly string[]): void | Promise<void>;
}
