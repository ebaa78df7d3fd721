import type {ReplicaId, ServiceName, VmId} from '../ids/index.js';

/** One model replica in its domain's document. */
export interface ReplicaEntry {
  readonly replicaId: ReplicaId;
  /** Grows when its VMs are exchanged. */
  readonly generation: number;
  readonly service: ServiceName;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Sorted; while it drains, those not released yet. */
  readonly vms: readonly VmId[];
  readonly leader: VmId;
  readonly slots: number;
  /** Token under which its orders were given. */
  readonly fencingToken: number;
  readonly state: 'planned' | 'loading' | 'serving' | 'draining';
  /** Serves until another replica has taken its place. */
  readonly isRetiring?: boolean;
}
