import type {ServingStep} from '../types.js';
import type {SignRecord} from './types.js';
import {logDecision} from '../log_decision.js';

/** Records and logs a change between silent and heard. */
export function noteSilence(
  step: ServingStep,
  signs: SignRecord,
  isSilent: boolean,
  of: {readonly target: string} | {readonly pool: string},
): void {
  const {silentSinceMs, heardAtMs, awaitedSinceMs} = signs;
  if (isSilent === (silentSinceMs !== undefined)) return;
  const {nowMs} = step;
  signs.silentSinceMs = isSilent ? nowMs : undefined;
  const subject = 'target' in of ? 'target' : 'pool';
  logDecision(
    step,
    'info',
    'routing',
    isSilent ? `${subject} silent` : `${subject} heard again`,
    {
      ...of,
      silentMs: isSilent ? undefined : Math.round(nowMs - silentSinceMs!),
      awaitedMs: Math.round(nowMs - (awaitedSinceMs ?? nowMs)),
      heardAgeMs:
        heardAtMs === -Infinity ? undefined : Math.round(nowMs - heardAtMs),
      unheard: signs.unheardCount,
      inFlight: signs.inFlight,
    },
  );
}
