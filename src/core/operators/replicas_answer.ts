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
  /** Why it gets no new work; absent while it does. */
  readonly bar?: string;
}

/** Answer to `replicas`: the domain documents as the asked node knows them. */
export interface ReplicasAnswer {
  readonly replicas: readonly ReplicaStatus[];
  /** Live engine VMs that are in no replica. */
  readonly spareVms: readonly VmId[];
}
