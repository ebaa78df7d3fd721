import type {ErrorBody} from './error_body.js';

/** A refusal ready to be sent: HTTP status and body. */
export interface Refusal {
  readonly status: number;
  readonly body: ErrorBody;
}
