import type {ServingStep} from '../serving/types.js';
import {probeEngine} from './probe_engine.js';

/** Interval at which slow engines are probed for their current pace. */
const SLOW_PROBE_INTERVAL_MS = 1500;

/** Probes slow engines again, so that they are used normally once they have recovered. Drops engines that are no longer listed. */
export function probeSlow(step: ServingStep): void {
  const {state, nowMs} = step;
  const {slowEngines} = state.steward;
  for (const [vmId, {atMs}] of slowEngines) {
    const engine = state.engines.get(vmId);
    if (!engine) slowEngines.delete(vmId);
    else if (nowMs - atMs > SLOW_PROBE_INTERVAL_MS) probeEngine(step, engine);
  }
}
