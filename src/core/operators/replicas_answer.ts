import type {DomainId, ReplicaId, ServiceName, VmId} from '../ids/index.js';

interface ReplicaStatus {
  readonly replicaId: ReplicaId;
  readonly domain: DomainId;
  readonly service: ServiceName;
  readonly model: string;
  readonly version: string;
  readonly state: string;
  readonly vms: readonly VmId[];
  readonly leader: VmId;
  readonly fencingToken: number;
  /** Why it receives no new requests; absent while it does. */
  readonly bar?: string;
}

/** Answer to `replicas`: the replicas in the domain documents that the answering node has. */
export interface ReplicasAnswer {
  readonly replicas: readonly ReplicaStatus[];
  /** Live engine VMs that belong to no replica. */
  readonly spareVms: readonly VmId[];
}
