import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {clearSuspect} from './clear_suspect.js';

/** Clears a fingerprint that ran to its end. */
export function noteRanToEnd(step: Step, {fingerprint}: RequestInfo): void {
  if (!clearSuspect(step, fingerprint)) return;
  step.state.quarantine.outbox.cleared.add(fingerprint);
}
