import type {Verdict} from '../verdict/index.js';

/** How one attempt failed, as the target client saw it. */
export interface AttemptFailure {
  /** Whether this attempt may have run. */
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
  /** The target's status, when it answered. */
  readonly status?: number;
  /** `target-refused`: when the target asks to be tried again. */
  readonly retryAfterMs?: number;
}
