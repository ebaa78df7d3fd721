import type {DomainId, ReplicaId, ServiceName, VmId} from '../ids/index.js';

interface ReplicaEntry {
  readonly replicaId: ReplicaId;
  /** Grows when its VMs are exchanged. */
  readonly generation: number;
  readonly service: ServiceName;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly vms: readonly VmId[];
  readonly leader: VmId;
  readonly slots: number;
  /** Token under which its orders were given. */
  readonly fencingToken: number;
  readonly state: 'planned' | 'loading' | 'serving' | 'draining';
}

/** All replicas of one fabric domain: the only place that says which VM is in which. */
export interface DomainDocument {
  readonly domain: DomainId;
  /** Grows with each change of steward. */
  readonly fencingToken: number;
  readonly replicas: readonly ReplicaEntry[];
  /** Nonce of the last write, to recognise one's own after a lost answer. */
  readonly writerNonce: string;
}
