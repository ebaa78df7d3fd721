/** A whole answer as it came. */
export interface Exchange {
  readonly status: number;
  readonly verdict?: string;
  readonly body: string;
  readonly firstByteAtMs: number;
}
