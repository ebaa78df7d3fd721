import type {OrganisationId, ServiceName} from '../ids/index.js';

interface ModelPart {
  readonly kind: 'model';
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly replicas: number;
  readonly vmsPerReplica: number;
  readonly slotsPerReplica: number;
  /** Replicas that must keep serving during a rolling update of the version. */
  readonly minServing: number;
}

interface ApplicationPart {
  readonly kind: 'application';
  readonly slotsPerEngine: number;
}

interface CommonPart {
  readonly name: ServiceName;
  readonly organisations: readonly OrganisationId[];
  /** Every request of the service runs at most once and needs an idempotency key. */
  readonly unrepeatable: boolean;
  readonly timeoutMs: number;
  /** How long the result for an idempotency key is kept. */
  readonly onceRetentionMs: number;
  readonly maxQueue: number;
  /** Services with a larger number go first at a load peak and when VMs are short. */
  readonly priority: number;
}

/** Configuration of one service, from its file. */
export type ServiceConfig = CommonPart & (ModelPart | ApplicationPart);
