/** Inclusive bounds for a measure. */
export interface OutcomeBound {
  readonly min?: number;
  readonly max?: number;
}
