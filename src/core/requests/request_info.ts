import type {
  Fingerprint,
  OnceKey,
  OrganisationId,
  RequestId,
  ServiceName,
} from '../ids/index.js';

/** An admitted request: the properties that scheduling decisions need, without its payload. */
export interface RequestInfo {
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  readonly service: ServiceName;
  readonly kind: 'model' | 'application';
  readonly adapter?: string;
  readonly promptTokens: number;
  /** Upper bound on output tokens, when the caller gave one. */
  readonly maxOutputTokens?: number;
  readonly stream: boolean;
  /** Greedy or seeded sampling: a resumed stream continues with exactly the same tokens. */
  readonly deterministic: boolean;
  readonly unrepeatable: boolean;
  /** Hash of organisation, service and idempotency key; set for unrepeatable requests. */
  readonly onceKey?: OnceKey;
  /** SHA-256 of method, path and body, hexadecimal. */
  readonly bodyDigest: string;
  /** Hash of organisation, service and `bodyDigest`; identifies equal requests in the quarantine. */
  readonly fingerprint: Fingerprint;
  /** Chained hashes of the prompt's blocks, which identify cached prefixes; the longest prefix is last. */
  readonly prefixHashes: readonly string[];
  /** Larger goes first. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}
