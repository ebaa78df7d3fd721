/** One benchmark; its figures are ratios against a baseline of the same run. */
export interface Benchmark {
  readonly name: string;
  readonly describe: string;
  /** Prints its figures; `words` are the words after its name. */
  run(words: readonly string[]): void | Promise<void>;
}
