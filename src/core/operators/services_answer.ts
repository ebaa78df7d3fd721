import type {ServiceName} from '../ids/index.js';

interface ServiceStatus {
  readonly name: ServiceName;
  readonly kind: 'model' | 'application';
  readonly version?: string;
  readonly organisations: readonly string[];
  readonly unrepeatable: boolean;
  /** Replicas that the service file asks for; model services only. */
  readonly replicasWanted?: number;
  readonly targetsServing: number;
  /** Targets that get no new work, by reason. */
  readonly targetsBarred: Readonly<Record<string, number>>;
  readonly slots: number;
  /** Requests of this service that the asked node runs and queues. */
  readonly running: number;
  readonly queued: number;
}

/** Answer to `services`: what is offered and what serves it, as the asked node sees it. */
export interface ServicesAnswer {
  readonly revision: number;
  readonly services: readonly ServiceStatus[];
}
