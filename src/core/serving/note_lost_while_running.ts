import type {RequestRecord, ServingStep} from './types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from './log_decision.js';

/** How long a request stays under suspicion of ending its targets. */
const SUSPECT_FOR_MS = 60_000;

/**
 * Counts targets that were lost while they ran a request. A request that ends
 * every target that runs it comes again with the same content; those beside it
 * on the same target are seldom there twice.
 */
export function noteLostWhileRunning(
  step: ServingStep,
  record: RequestRecord,
  vmId: VmId,
  hasStarted: boolean,
): void {
  const {state, nowMs} = step;
  const {fingerprint, requestId} = record.request;
  let suspect = state.crashSuspects.get(fingerprint);
  if (!suspect) {
    suspect = {losses: 0, untilMs: 0, lostAt: new Set()};
    state.crashSuspects.set(fingerprint, suspect);
  }
  if (suspect.lostAt.has(vmId)) return;
  suspect.lostAt.add(vmId);
  suspect.losses += 1;
  suspect.untilMs = nowMs + SUSPECT_FOR_MS;
  logDecision(step, 'warn', 'requests', 'target lost while running', {
    requestId,
    fingerprint,
    target: vmId,
    losses: suspect.losses,
    hasStarted,
  });
}
