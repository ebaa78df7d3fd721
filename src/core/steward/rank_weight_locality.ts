import type {EngineRecord} from '../fleet/types.js';
import type {ModelName} from '../ids/index.js';

/** Ranks how far an engine is from serving a model: 0 has its weights in memory, 1 on its host, 2 has no weights, 3 has those of another model. */
export function rankWeightLocality(
  engine: EngineRecord,
  model: ModelName,
): number {
  if (engine.models[0] === model) return 0;
  if (engine.stagedModels.includes(model)) return 1;
  const isEmpty =
    engine.models.length === 0 && engine.stagedModels.length === 0;
  return isEmpty ? 2 : 3;
}
