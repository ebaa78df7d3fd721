import type {ServiceConfig} from '../../config/types.js';

/** A model service as the planner sees it. */
export type PlanService = Extract<ServiceConfig, {kind: 'model'}>;
