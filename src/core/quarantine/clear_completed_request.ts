import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {clearSuspect} from './clear_suspect.js';

/** Clears a suspect that ran to completion, and queues its clearance for peers. */
export function clearCompletedRequest(
  step: Step,
  {fingerprint}: RequestInfo,
): void {
  if (!clearSuspect(step, fingerprint)) return;
  step.state.quarantine.outbox.cleared.add(fingerprint);
}
