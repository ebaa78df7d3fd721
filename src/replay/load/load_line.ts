/** One request line of a load trace; absent fields have defaults. */
export interface LoadLine {
  readonly atMs: number;
  /** Caller id, as `<organisation>/<number>`. */
  readonly client: string;
  /** Default: the model service. */
  readonly service?: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maxOutputTokens?: number;
  /** Number of a prompt prefix shared within the organisation. */
  readonly prefix?: number;
  readonly deadlineMs?: number;
}
