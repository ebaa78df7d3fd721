/** One request as a load trace writes it; what is absent is usual. */
export interface LoadLine {
  readonly atMs: number;
  /** `<organisation>/<number>`. */
  readonly client: string;
  /** Usually the model service. */
  readonly service?: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maxOutputTokens?: number;
  /** Numbers a prompt prefix that the organisation's requests share. */
  readonly prefix?: number;
  readonly deadlineMs?: number;
}
