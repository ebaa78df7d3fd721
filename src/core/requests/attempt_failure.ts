import type {Verdict} from '../verdict/index.js';

/** Failure of one attempt, as reported by the target client. */
export interface AttemptFailure {
  /** Whether the target may have executed this attempt. */
  readonly verdict: Verdict;
  readonly cause:
    | 'connect-failed'
    | 'reset'
    | 'silent'
    | 'target-refused'
    | 'target-leaving'
    | 'target-error'
    | 'truncated'
    | 'protocol'
    | 'cancelled';
  /** HTTP status of the target's response, when there was one. */
  readonly status?: number;
  /** `target-refused`: delay that the target requests before a retry. */
  readonly retryAfterMs?: number;
}
