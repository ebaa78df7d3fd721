import type {CallerOutcome} from './types.js';

/** Results as shares of all requests, 0 to 1; `sent` is a count. */
interface ServingMeasures {
  readonly sent: number;
  /** Complete, with the first event and all gaps between events within their goals. */
  readonly onTime: number;
  readonly whole: number;
  readonly refused: number;
  /** Failed, truncated, or not ended. */
  readonly failed: number;
}

/** Summarizes the outcomes of requests. */
export function measureServing(
  outcomes: readonly CallerOutcome[],
): ServingMeasures {
  const shareOf = (predicate: (outcome: CallerOutcome) => boolean) =>
    outcomes.filter(predicate).length / Math.max(1, outcomes.length);
  const isComplete = ({result}: CallerOutcome) => result === 'whole';
  return {
    sent: outcomes.length,
    onTime: shareOf(
      one =>
        isComplete(one) &&
        (one.firstEventMs ?? Infinity) <= one.goalMs &&
        one.longestGapMs <= one.gapGoalMs,
    ),
    whole: shareOf(isComplete),
    refused: shareOf(({result}) => result === 'refused'),
    failed: shareOf(one => !isComplete(one) && one.result !== 'refused'),
  };
}
