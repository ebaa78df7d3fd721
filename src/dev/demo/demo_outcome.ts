/** Outcome of one demo request for its caller. */
export interface DemoOutcome {
  readonly kind: 'short' | 'long' | 'order';
  readonly end: 'whole' | 'lost' | 'wrong';
  /** Whether an order was confirmed by looking it up at the service instead of by a response. */
  readonly lookedUp: boolean;
  /** Refusals with verdict `not-run`. */
  readonly notRun: number;
  /** Refusals with another verdict. */
  readonly mayHaveRun: number;
  /** Time from the first send to the first token, including retries; chats only. */
  readonly firstTokenMs?: number;
  /** Why the request was lost or its response is wrong. */
  readonly reason?: string;
}
