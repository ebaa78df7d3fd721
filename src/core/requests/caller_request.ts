import type {RequestId} from '../ids/index.js';

/** A parsed request from the caller front end, before it is authenticated and validated. */
export interface CallerRequest {
  readonly requestId: RequestId;
  /** Hexadecimal SHA-256 of the bearer token; undefined without one. */
  readonly tokenSha256?: string;
  /** Service named by the body's model field or by the path. */
  readonly service: string;
  readonly kind: 'model' | 'application';
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly maxOutputTokens?: number;
  readonly stream: boolean;
  readonly deterministic: boolean;
  /** Header `rhubarbstile-unrepeatable: true`. */
  readonly unrepeatable: boolean;
  readonly idempotencyKey?: string;
  readonly bodyDigest: string;
  readonly prefixHashes: readonly string[];
  readonly priority?: number;
  /** Header `rhubarbstile-deadline-ms`; bounded by the service's timeout. */
  readonly timeoutMs?: number;
}
