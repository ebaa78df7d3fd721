import type {ServicePath} from './types.js';
import type {ServingStep} from '../types.js';
import {crashDetection} from '../crashes/index.js';
import {markEngineLost} from '../../steward/mark_engine_lost.js';
import {releaseEndedHead} from '../../steward/release_ended_head.js';

/** Confirms the losses of engines up to the time at which the path is proven to have worked. */
export function confirmLosses(
  step: ServingStep,
  {pendingLosses}: ServicePath,
  provenAtMs: number,
): void {
  for (const [vmId, loss] of [...pendingLosses]) {
    if (loss.atMs > provenAtMs) continue;
    pendingLosses.delete(vmId);
    if (loss.hasEnded) releaseEndedHead(step, vmId, loss.bornAtMs);
    if (step.state.engines.get(vmId)?.bornAtMs !== loss.bornAtMs) continue;
    markEngineLost(step, vmId, loss.proof);
    if (loss.hasEnded) crashDetection.confirm(step, vmId);
  }
}
