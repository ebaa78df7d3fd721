import type {ServiceName} from '../ids/index.js';

interface ServiceStatus {
  readonly name: ServiceName;
  readonly kind: 'model' | 'application';
  readonly version?: string;
  readonly organisations: readonly string[];
  readonly unrepeatable: boolean;
  /** Number of replicas that the service file requests; model services only. */
  readonly replicasWanted?: number;
  readonly targetsServing: number;
  /** Number of targets that receive no new requests, by reason. */
  readonly targetsBarred: Readonly<Record<string, number>>;
  readonly slots: number;
  /** Requests of this service that run on the answering node. */
  readonly running: number;
  /** Requests of this service that are queued on the answering node. */
  readonly queued: number;
}

/** Answer to `services`: all services and their targets, in the view of the answering node. */
export interface ServicesAnswer {
  readonly revision: number;
  readonly services: readonly ServiceStatus[];
}
