/** Body of a completion request, with the fields that the stand-in knows. */
export interface CompletionBody {
  readonly messages?: readonly {role?: unknown; content?: unknown}[];
  readonly prompt?: unknown;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  /** Continues after what an earlier attempt delivered. */
  readonly resume?: {readonly text: string; readonly tokens: number};
  readonly standin?: {
    readonly outputTokens?: number;
    /** Kills the engine that runs the request. */
    readonly crash?: boolean;
  };
}
