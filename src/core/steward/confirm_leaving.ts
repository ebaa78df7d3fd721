import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {probeEngine} from './probe_engine.js';

/**
 * Asks engines that told only peers that they leave: a replica is taken apart
 * on an engine's own word, since a peer's may be mistaken or out of date.
 */
export function confirmLeaving(step: ServingStep, service: ServiceName): void {
  const {engines, announcements} = step.state;
  for (const [vmId, {bornAtMs, isOwn}] of announcements.leaving) {
    const engine = engines.get(vmId);
    if (isOwn || engine?.service !== service) continue;
    if (engine.bornAtMs === bornAtMs) probeEngine(step, engine);
  }
}
