import type {EngineRecord} from '../fleet/types.js';
import type {ModelName} from '../ids/index.js';
import {rankWeightLocality} from './rank_weight_locality.js';

/** Lowest distance at which the weights are not on the host and have to be loaded. */
const COLD_DISTANCE = 2;

/** Whether an engine has to load weights before it can join a replica of the model. */
export function isCold(engine: EngineRecord, model: ModelName): boolean {
  return rankWeightLocality(engine, model) >= COLD_DISTANCE;
}
