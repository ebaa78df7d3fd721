import type {CallerOutcome} from './types.js';

/** Shares of the requests, 0 to 1. */
interface ServingMeasures {
  readonly sent: number;
  /** Whole, the first event and all pauses within their goals. */
  readonly onTime: number;
  readonly whole: number;
  readonly refused: number;
  /** Failed, cut, or never ended. */
  readonly failed: number;
}

/** Sums up what callers got. */
export function measureServing(
  outcomes: readonly CallerOutcome[],
): ServingMeasures {
  const share = (test: (outcome: CallerOutcome) => boolean) =>
    outcomes.filter(test).length / Math.max(1, outcomes.length);
  const isWhole = ({result}: CallerOutcome) => result === 'whole';
  return {
    sent: outcomes.length,
    onTime: share(
      one =>
        isWhole(one) &&
        (one.firstMs ?? Infinity) <= one.goalMs &&
        one.longestGapMs <= one.gapGoalMs,
    ),
    whole: share(isWhole),
    refused: share(({result}) => result === 'refused'),
    failed: share(one => !isWhole(one) && one.result !== 'refused'),
  };
}
