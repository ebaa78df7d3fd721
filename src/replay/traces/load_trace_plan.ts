/** Load of a generated trace: a warm-up at the usual rate, a peak, and a period after it. */
export interface LoadTracePlan {
  readonly scenario: string;
  readonly seed: number;
  readonly warmMs: number;
  readonly crestMs: number;
  readonly afterMs: number;
  readonly usualPerSecond: number;
  /** Request rate in the load peak, as a multiple of the usual rate. */
  readonly crestFactor: number;
  /** Share of requests that are long. */
  readonly longShare: number;
  /** Organisation that sends an extra share of the requests in the load peak. */
  readonly burst?: {readonly organisation: string; readonly share: number};
  /** Engines of the model service that refuse requests during the load peak. */
  readonly refusers: readonly number[];
  readonly outcomes: Readonly<Record<string, {min?: number; max?: number}>>;
}
