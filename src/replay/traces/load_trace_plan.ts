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
  readonly outcomes: Readonly<Record<string, {min?: number; max?: number}>>;
}
