import type {
  Fingerprint,
  OnceKey,
  OrganisationId,
  RequestId,
  ServiceName,
} from '../ids/index.js';

/** A request as admitted: all that decisions need, none of its bytes. */
export interface RequestInfo {
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  readonly service: ServiceName;
  readonly kind: 'model' | 'application';
  readonly adapter?: string;
  readonly promptTokens: number;
  /** The caller's bound on output tokens, when it gave one. */
  readonly maxOutputTokens?: number;
  readonly stream: boolean;
  /** Greedy or seeded: a resumed stream continues exactly. */
  readonly deterministic: boolean;
  readonly unrepeatable: boolean;
  readonly onceKey?: OnceKey;
  /** SHA-256 of method, path and body, hexadecimal. */
  readonly bodyDigest: string;
  readonly fingerprint: Fingerprint;
  /** Chained hashes of prompt blocks, for cached prefixes; longest last. */
  readonly prefixHashes: readonly string[];
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}
