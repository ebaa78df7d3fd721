import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';

/**
 * Applies an arbiter's answer. Without one the trial counts as granted, so that
 * a suspect runs as it would on a node without peers.
 */
export function settleTrial(
  step: Step,
  {callId, message}: EventOf<'peerAnswered'>,
): void {
  const {deniedMs, grantMs} = QUARANTINE_TIMING;
  for (const suspect of step.state.quarantine.suspects.values()) {
    if (suspect.ask?.callId !== callId) continue;
    const {targetId} = suspect.ask;
    delete suspect.ask;
    const isDenied =
      message?.type === 'quarantine.answer' && !message.isGranted;
    if (isDenied) suspect.denied.set(targetId, step.nowMs + deniedMs);
    else suspect.grant = {targetId, untilMs: step.nowMs + grantMs};
    return;
  }
}
