import type {ServingStep} from '../serving/types.js';
import {probeEngine} from './probe_engine.js';

/** Pause after which a slow engine is asked whether it still is. */
const ASK_AGAIN_MS = 1500;

/** Asks slow engines again, so that they are used as before once they have recovered. */
export function probeSlow(step: ServingStep): void {
  const {state, nowMs} = step;
  const {slowEngines} = state.steward;
  for (const [vmId, {atMs}] of slowEngines) {
    const engine = state.engines.get(vmId);
    if (!engine) slowEngines.delete(vmId);
    else if (nowMs - atMs > ASK_AGAIN_MS) probeEngine(step, engine);
  }
}
