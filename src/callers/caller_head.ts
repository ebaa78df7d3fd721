import type {OutgoingHttpHeaders} from 'node:http';
import type {RequestId} from '../core/ids/index.js';

/** What a request's head says, before its body is read. */
export interface CallerHead {
  readonly requestId: RequestId;
  readonly kind: 'model' | 'application';
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Named by the path; model requests name it in the body. */
  readonly service?: string;
  /** Hexadecimal SHA-256 of the bearer token. */
  readonly tokenSha256?: string;
  readonly headers: OutgoingHttpHeaders;
  readonly unrepeatable: boolean;
  readonly idempotencyKey?: string;
  readonly priority?: number;
  readonly timeoutMs?: number;
}
