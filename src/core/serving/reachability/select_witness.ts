import type {EngineRecord} from '../../fleet/types.js';
import type {ServiceName} from '../../ids/index.js';
import type {ServicePath} from './types.js';
import type {ServingStep} from '../types.js';
import {isLostEngine} from '../is_lost_engine.js';

/** A peer's event from an engine shows for this long that the engine runs. */
const PROGRESS_MS = 1000;

/** Selects the engine whose response tells most about the path: one that peers reach, and that shares no fabric domain with unreachable ones. */
export function selectWitness(
  {state, nowMs}: ServingStep,
  service: ServiceName,
  path: ServicePath,
): EngineRecord | undefined {
  const domains = new Set(
    [...path.unreachable].map(vmId => state.engines.get(vmId)?.domain),
  );
  let best: EngineRecord | undefined;
  let bestScore = -1;
  for (const engine of state.engines.values()) {
    if (engine.service !== service || path.probes.has(engine.vmId)) continue;
    if (engine.isLeaving || isLostEngine(state, engine)) continue;
    const progressAtMs = state.peerLoads.get(engine.vmId)?.progressAtMs ?? 0;
    const score =
      (path.unreachable.has(engine.vmId) ? 0 : 8) +
      (engine.domain === undefined || domains.has(engine.domain) ? 0 : 4) +
      (nowMs - progressAtMs < PROGRESS_MS ? 2 : 0) +
      state.random.next();
    if (score <= bestScore) continue;
    best = engine;
    bestScore = score;
  }
  return best;
}
