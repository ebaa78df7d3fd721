import type {DomainId, VmId} from '../ids/index.js';
import type {ReplicaEntry} from './replica_entry.js';

/** All replicas of one fabric domain: the only place that says which VM is in which. */
export interface DomainDocument {
  readonly domain: DomainId;
  /** Grows with each change of steward. */
  readonly fencingToken: number;
  readonly replicas: readonly ReplicaEntry[];
  /** VMs that the steward holds fit for a new replica, sorted: all stewards plan with these. */
  readonly spares: readonly VmId[];
  /** Nonce of the last write, to recognise one's own after a lost answer. */
  readonly writerNonce: string;
}
