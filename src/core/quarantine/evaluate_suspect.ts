import type {Step} from '../state/types.js';
import type {Suspect} from './suspect.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {quarantineRequests} from '../requests/index.js';
import {recordAudit} from '../audit/index.js';

/** Confirmed losses after which a fingerprint is quarantined. */
const MAX_LOSSES = 2;

/** Quarantines a fingerprint that was in flight on two targets whose losses are confirmed. */
export function evaluateSuspect(step: Step, suspect: Suspect): void {
  const losses = [...suspect.losses.values()].filter(one => one.isConfirmed);
  if (losses.length < MAX_LOSSES || suspect.quarantinedUntilMs) return;
  const {fingerprint} = suspect;
  suspect.quarantinedUntilMs = step.nowMs + QUARANTINE_TIMING.quarantineMs;
  suspect.untilMs = Math.max(suspect.untilMs, suspect.quarantinedUntilMs);
  recordAudit(step, {
    who: 'system',
    action: 'quarantine',
    subject: fingerprint,
    after: losses.map(loss => loss.targetId).join(' '),
  });
  quarantineRequests(step, fingerprint);
}
