import type {ErrorName} from './error_name.js';
import type {Verdict} from '../verdict/index.js';

/** Body of every refusal: `{"error": ErrorBody}`. */
export interface ErrorBody {
  readonly name: ErrorName;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly verdict: Verdict;
  /** Time after which a retry can succeed; absent when a retry cannot succeed. */
  readonly retryAfterMs?: number;
}
