/** Body of a completion request, with the fields that the stand-in supports. */
export interface CompletionBody {
  readonly messages?: readonly {role?: unknown; content?: unknown}[];
  readonly prompt?: unknown;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  /** Text and number of tokens that an earlier attempt delivered; generation continues after them. */
  readonly resume?: {readonly text: string; readonly tokens: number};
  /** Overrides of the stand-in's behaviour, for tests. */
  readonly standin?: {
    readonly outputTokens?: number;
    /** Kills the engine that runs the request. */
    readonly crash?: boolean;
  };
}
