import type {ReplicaId, ServiceName, VmId} from '../ids/index.js';

/** Membership in a replica, as the steward orders it and as the engine reports it back. */
export interface EngineAssignment {
  readonly replicaId: ReplicaId;
  /** Increases each time VMs of the replica are replaced. */
  readonly generation: number;
  readonly fencingToken: number;
  readonly service: ServiceName;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: 'unified' | 'prefill' | 'decode';
  /** All VMs of the replica, sorted; `leader` serves the requests of the replica. */
  readonly vms: readonly VmId[];
  readonly leader: VmId;
  readonly slots: number;
}
