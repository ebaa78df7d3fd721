/** One request of a load trace, with defaults filled in. */
export interface LoadRequest {
  readonly atMs: number;
  /** `<organisation>/<number>`. */
  readonly client: string;
  readonly service: string;
  readonly promptTokens: number;
  /** Tokens that the engine generates; not visible to the system under test. */
  readonly outputTokens: number;
  /** Output limit that the caller sends; absent when it sends none. */
  readonly maxOutputTokens?: number;
  /** Identifies a prompt prefix shared with other requests. */
  readonly prefix?: string;
  /** The caller abandons the request after this time. */
  readonly deadlineMs: number;
}
