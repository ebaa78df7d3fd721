import type {OrganisationId, ServiceName} from '../ids/index.js';

interface ModelPart {
  readonly kind: 'model';
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly replicas: number;
  readonly vmsPerReplica: number;
  readonly slotsPerReplica: number;
  /** Replicas that must keep serving during a version roll. */
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
  /** How long an idempotency key is remembered. */
  readonly onceRetentionMs: number;
  readonly maxQueue: number;
  /** Larger numbers go first at a crest and when VMs are short. */
  readonly priority: number;
}

/** One service as its file states it. */
export type ServiceConfig = CommonPart & (ModelPart | ApplicationPart);
