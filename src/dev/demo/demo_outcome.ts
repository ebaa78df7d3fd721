/** How one request of the demo ended for its caller. */
export interface DemoOutcome {
  readonly kind: 'short' | 'long' | 'order';
  readonly end: 'whole' | 'lost' | 'wrong';
  /** Orders: the answer came from looking the order up at the service. */
  readonly lookedUp: boolean;
  /** Refusals on the way, by verdict. */
  readonly notRun: number;
  readonly mayHaveRun: number;
  /** From the first send to the first token, re-sends included; chats only. */
  readonly firstTokenMs?: number;
  /** Why it is lost or wrong. */
  readonly reason?: string;
}
