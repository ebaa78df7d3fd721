const FIRST_STEP = 1;
const LAST_STEP = 0.06;
const STEP_DECAY = 0.85;

/** Follows a quantile of positive values in constant space; older values lose their weight. */
export class DecayedQuantile {
  private logValue: number;
  private step = FIRST_STEP;

  constructor(
    private readonly quantile: number,
    firstValue: number,
  ) {
    this.logValue = Math.log(Math.max(1, firstValue));
  }

  get value(): number {
    return Math.exp(this.logValue);
  }

  /** Moves towards a new value: up by the quantile, down by its complement. */
  add(value: number): void {
    const isAbove = Math.log(Math.max(1, value)) > this.logValue;
    const share = isAbove ? this.quantile : this.quantile - 1;
    this.logValue = Math.max(0, this.logValue + this.step * share);
    this.step = Math.max(LAST_STEP, this.step * STEP_DECAY);
  }
}
