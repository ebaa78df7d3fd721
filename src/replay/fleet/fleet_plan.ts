import type {ModelService} from './model_service.js';

/** The fleet that a trace's head describes. */
export interface FleetPlan {
  readonly nodes: number;
  readonly domains: number;
  readonly vmsPerDomain: number;
  readonly fencingShare: number;
  readonly loadMs: number;
  readonly answerMs: number;
  readonly weightTokensPerSecond: number;
  /** Time in which the replicas are first formed, before the faults. */
  readonly formMs: number;
  readonly durationMs: number;
  readonly services: readonly ModelService[];
}
