/** Speed and size of a virtual engine. */
export interface EngineOptions {
  readonly slots: number;
  /** Time per token of a stream that runs alone. */
  readonly tokenMs: number;
  /** Relative increase of the time per token for each further stream in the batch. */
  readonly batchCost: number;
  readonly prefillMsPerToken: number;
  /** Capacity of the prefix cache, in prompt prefixes. */
  readonly cachedPrefixes: number;
}
