import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {probeEngine} from './probe_engine.js';

/**
 * Probes engines that only peers reported as leaving. A replica is dissolved
 * only on an announcement made to this node itself, since a peer's report may be
 * wrong or out of date.
 */
export function probeLeavingEngines(
  step: ServingStep,
  service: ServiceName,
): void {
  const {engines, announcements} = step.state;
  for (const [vmId, {bornAtMs, isFirstHand}] of announcements.leaving) {
    const engine = engines.get(vmId);
    if (isFirstHand || engine?.service !== service) continue;
    if (engine.bornAtMs === bornAtMs) probeEngine(step, engine);
  }
}
