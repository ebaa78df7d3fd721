import type {RequestRecord, ServingStep} from './types.js';
import {logDecision} from './log_decision.js';

/** A full target frees a slot every few hundred ms. */
const READMIT_MS = 300;

/** Lets targets that refused a request some time ago take it again. */
export function readmitTargets(step: ServingStep, record: RequestRecord): void {
  const {refusedAtMs, triedTargets, request} = record;
  for (const [vmId, atMs] of refusedAtMs) {
    if (step.nowMs - atMs < READMIT_MS) continue;
    refusedAtMs.delete(vmId);
    triedTargets.delete(vmId);
    logDecision(step, 'info', 'requests', 'target may be asked again', {
      requestId: request.requestId,
      callerId: request.callerId,
      target: vmId,
      refusedMs: Math.round(step.nowMs - atMs),
    });
  }
}
