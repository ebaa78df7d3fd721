import type {ErrorName} from './error_name.js';
import type {Verdict} from '../verdict/index.js';

/** Body of every refusal: `{"error": ErrorBody}`. */
export interface ErrorBody {
  readonly name: ErrorName;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly verdict: Verdict;
  /** When a later try can succeed; absent when it cannot. */
  readonly retryAfterMs?: number;
}
