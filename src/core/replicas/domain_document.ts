import type {DomainId} from '../ids/index.js';
import type {ReplicaEntry} from './replica_entry.js';

/** All replicas of one fabric domain: the only place that says which VM is in which. */
export interface DomainDocument {
  readonly domain: DomainId;
  /** Grows with each change of steward. */
  readonly fencingToken: number;
  readonly replicas: readonly ReplicaEntry[];
  /** Nonce of the last write, to recognise one's own after a lost answer. */
  readonly writerNonce: string;
}
