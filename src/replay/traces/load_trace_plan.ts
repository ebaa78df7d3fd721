/** Demand of a generated load trace. */
export interface LoadTracePlan {
  readonly scenario: string;
  readonly seed: number;
  readonly warmMs: number;
  readonly crestMs: number;
  readonly afterMs: number;
  readonly usualPerSecond: number;
  /** Demand at the crest, as a multiple of the usual one. */
  readonly crestFactor: number;
  /** Share of requests that are long. */
  readonly longShare: number;
  /** Organisation that sends a share of the crest's requests beside its usual ones. */
  readonly burst?: {readonly organisation: string; readonly share: number};
  /** Engines of the model service that take no requests during the crest. */
  readonly refusers: readonly number[];
  readonly outcomes: Readonly<Record<string, {min?: number; max?: number}>>;
}
