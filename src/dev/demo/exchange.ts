/** A complete HTTP response. */
export interface Exchange {
  readonly status: number;
  readonly verdict?: string;
  readonly body: string;
  readonly firstByteAtMs: number;
}
