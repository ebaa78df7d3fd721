import type {DomainId, VmId} from '../ids/index.js';
import type {ReplicaEntry} from './replica_entry.js';

/** All replicas of one fabric domain: the only record of which VM belongs to which replica. */
export interface DomainDocument {
  readonly domain: DomainId;
  /** Increases with each change of steward. */
  readonly fencingToken: number;
  readonly replicas: readonly ReplicaEntry[];
  /** VMs that the steward considers usable for a new replica, sorted; all stewards plan with these. */
  readonly spares: readonly VmId[];
  /** Nonce of the last write, by which its writer recognises it after a lost response. */
  readonly writerNonce: string;
}
