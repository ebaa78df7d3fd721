/** Passes one kind of answer from a target to the caller. */
export interface AnswerRelay {
  /** Takes bytes of the target; false when the target must wait for `onceDrained`. */
  accept(chunk: Buffer): boolean;
  /** The target's answer came to its proper end; false when it was not whole. */
  finish(): boolean;
  /** Tokens passed to the caller. */
  readonly tokens: number;
  /** The end marker was seen: nothing after it belongs to the answer. */
  readonly isDone: boolean;
  /** The caller has bytes that no other attempt can continue. */
  readonly isUnresumable: boolean;
  /** A small whole answer, to be kept with an idempotency key. */
  keptAnswer(): {contentType: string; body: string} | undefined;
}
