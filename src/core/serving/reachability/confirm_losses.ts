import type {ServicePath} from './types.js';
import type {ServingStep} from '../types.js';
import {markEngineLost} from '../../steward/mark_engine_lost.js';
import {suspectEnd} from './suspect_end.js';

/** Confirms the losses of engines up to the time at which the path is proven to have worked. */
export function confirmLosses(
  step: ServingStep,
  {pendingLosses}: ServicePath,
  provenAtMs: number,
): void {
  for (const [vmId, loss] of [...pendingLosses]) {
    if (loss.atMs > provenAtMs) continue;
    pendingLosses.delete(vmId);
    const engine = step.state.engines.get(vmId);
    if (!engine || engine.bornAtMs !== loss.bornAtMs) continue;
    if (loss.isRefused) suspectEnd(step, engine, loss);
    else markEngineLost(step, vmId, loss.proof);
  }
}
