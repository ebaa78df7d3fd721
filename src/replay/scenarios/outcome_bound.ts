/** Bounds that a measure has to keep, both inclusive. */
export interface OutcomeBound {
  readonly min?: number;
  readonly max?: number;
}
