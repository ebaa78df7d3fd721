/** Steps of the logarithm: from the initial one they shrink to the minimum with each value. */
const INITIAL_STEP = 1;
const MIN_STEP = 0.06;
const STEP_DECAY = 0.85;

/** Estimates a quantile of positive values in constant space; older values lose weight. */
export class DecayedQuantile {
  private logValue: number;
  private step = INITIAL_STEP;

  constructor(
    private readonly quantile: number,
    firstValue: number,
  ) {
    this.logValue = Math.log(Math.max(1, firstValue));
  }

  get value(): number {
    return Math.exp(this.logValue);
  }

  /** Moves the estimate towards a new value: up in proportion to the quantile, down to its complement. */
  add(value: number): void {
    const isAbove = Math.log(Math.max(1, value)) > this.logValue;
    const share = isAbove ? this.quantile : this.quantile - 1;
    this.logValue = Math.max(0, this.logValue + this.step * share);
    this.step = Math.max(MIN_STEP, this.step * STEP_DECAY);
  }
}
