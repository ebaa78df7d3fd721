import type {OutgoingHttpHeaders} from 'node:http';
import type {RequestId} from '../core/ids/index.js';

/** Data of a request's head, available before its body is read. */
export interface CallerHead {
  readonly requestId: RequestId;
  readonly kind: 'model' | 'application';
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Service in the path; model requests name it in the body instead. */
  readonly service?: string;
  /** Hexadecimal SHA-256 of the bearer token. */
  readonly tokenSha256?: string;
  readonly headers: OutgoingHttpHeaders;
  /** The request must not be run twice, by the header `rhubarbstile-unrepeatable`. */
  readonly unrepeatable: boolean;
  /** At most 255 characters. */
  readonly idempotencyKey?: string;
  readonly priority?: number;
  /** Time limit that the caller sets by `rhubarbstile-deadline-ms`. */
  readonly timeoutMs?: number;
}
