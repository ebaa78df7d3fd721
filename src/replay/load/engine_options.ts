/** Speed and size of a virtual engine. */
export interface EngineOptions {
  readonly slots: number;
  /** Time per token of a stream that runs alone. */
  readonly tokenMs: number;
  /** Share by which each further stream of the batch slows all. */
  readonly batchCost: number;
  readonly prefillMsPerToken: number;
  /** Prompt prefixes held in the cache. */
  readonly cachedPrefixes: number;
}
