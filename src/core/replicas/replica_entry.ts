import type {ReplicaId, ServiceName, VmId} from '../ids/index.js';

/** One model replica in its domain's document. */
export interface ReplicaEntry {
  readonly replicaId: ReplicaId;
  /** Increases when its VMs are exchanged or its engines must load again. */
  readonly generation: number;
  readonly service: ServiceName;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Sorted; of a draining replica, those not released yet. */
  readonly vms: readonly VmId[];
  readonly leader: VmId;
  readonly slots: number;
  /** Fencing token of the steward that last formed it. */
  readonly fencingToken: number;
  readonly state: 'planned' | 'loading' | 'serving' | 'draining';
  /** Whether it serves only until another replica has replaced it. */
  readonly isRetiring?: boolean;
}
