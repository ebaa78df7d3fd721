import type {Refusal} from '../errors/index.js';
import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';

/** Refuses a request whose fingerprint is quarantined after it was in flight on two lost targets. */
export function checkQuarantine(
  step: Step,
  {fingerprint}: RequestInfo,
): Refusal | undefined {
  const suspect = step.state.quarantine.suspects.get(fingerprint);
  const leftMs = (suspect?.quarantinedUntilMs ?? 0) - step.nowMs;
  if (leftMs <= 0) return undefined;
  return createRefusal('Quarantined', 'not-run', {retryAfterMs: leftMs});
}
