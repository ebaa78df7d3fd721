/** One request of a load trace, as its caller knows it. */
export interface LoadRequest {
  readonly atMs: number;
  /** `<organisation>/<number>`. */
  readonly client: string;
  readonly service: string;
  readonly promptTokens: number;
  /** What the engine will make; unknown to the system. */
  readonly outputTokens: number;
  /** The caller's bound on output, when it states one. */
  readonly maxOutputTokens?: number;
  /** Names a prompt prefix shared with other requests. */
  readonly prefix?: string;
  /** The caller gives up after this time. */
  readonly deadlineMs: number;
}
