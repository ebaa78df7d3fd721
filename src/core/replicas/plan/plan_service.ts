import type {ServiceConfig} from '../../config/types.js';

/** Configuration of a model service, as input of the planner. */
export type PlanService = Extract<ServiceConfig, {kind: 'model'}>;
