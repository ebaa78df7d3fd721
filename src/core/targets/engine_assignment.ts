import type {ReplicaId, ServiceName, VmId} from '../ids/index.js';

/** What a steward orders an engine to be part of, and what the engine then reports. */
export interface EngineAssignment {
  readonly replicaId: ReplicaId;
  /** Grows when VMs of the replica are exchanged. */
  readonly generation: number;
  readonly fencingToken: number;
  readonly service: ServiceName;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: 'unified' | 'prefill' | 'decode';
  /** Every VM of the replica, sorted; `leader` answers requests for all. */
  readonly vms: readonly VmId[];
  readonly leader: VmId;
  readonly slots: number;
}
