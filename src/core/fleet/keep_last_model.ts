import type {EngineRecord} from './types.js';

/**
 * Adds to the record of an engine that is in no replica the model of its last
 * one, as known from its previous record: it reports no model then, although it
 * joins that model again without loading or staging weights. An engine that left
 * while it was joining may not have the weights yet.
 */
export function keepLastModel(
  engine: EngineRecord,
  previous: EngineRecord | undefined,
): EngineRecord {
  if (engine.models.length > 0 || engine.membership) return engine;
  if (previous?.bornAtMs !== engine.bornAtMs) return engine;
  if (previous.membership?.stage === 'joining') return engine;
  const lastModel = previous.models[0] ?? previous.lastModel;
  return lastModel === undefined ? engine : {...engine, lastModel};
}
