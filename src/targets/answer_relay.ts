/** Forwards one kind of response from a target to the caller. */
export interface AnswerRelay {
  /** Processes bytes of the target's response; false when reading must pause until `onceDrained`. */
  processChunk(chunk: Buffer): boolean;
  /** Called when the target's response ends; false when the response is truncated. */
  finish(): boolean;
  /** Tokens forwarded to the caller. */
  readonly tokens: number;
  /** The end marker was received; bytes after it are not part of the response. */
  readonly isDone: boolean;
  /** The caller already has bytes that a further attempt cannot continue. */
  readonly isUnresumable: boolean;
  /** A small complete response, for storage under an idempotency key. */
  keptAnswer(): {contentType: string; body: string} | undefined;
}
