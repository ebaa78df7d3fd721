import type {EngineRecord} from '../../fleet/types.js';
import type {ServingState} from '../types.js';
import {presumedColdSinceMs} from './presumed_cold_since_ms.js';
import {resolveColdRules} from './resolve_cold_rules.js';

/** Returns the time at which an engine is warm at the latest; -Infinity if it isn't known to be cold. */
export function resolveColdUntilMs(
  state: ServingState,
  engine: EngineRecord,
): number {
  const rules = resolveColdRules(state, engine.service);
  if (!rules) return -Infinity;
  const evidence = state.coldness.evidence.get(engine.vmId);
  const wholeSinceMs = Math.max(
    evidence?.wholeSinceMs ?? -Infinity,
    presumedColdSinceMs(state, engine) ?? -Infinity,
  );
  return Math.max(evidence?.untilMs ?? -Infinity, wholeSinceMs + rules.coldMs);
}
