import type {ModelService} from './model_service.js';

/** The fleet described in the head of a trace. */
export interface FleetPlan {
  readonly nodes: number;
  readonly domains: number;
  readonly vmsPerDomain: number;
  readonly fencingShare: number;
  readonly loadMs: number;
  readonly answerMs: number;
  readonly weightTokensPerSecond: number;
  /** Time for forming the initial replicas, before the first fault. */
  readonly formMs: number;
  readonly durationMs: number;
  readonly services: readonly ModelService[];
}
