import type {OperationId, TargetId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {Suspect} from './suspect.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {grantTrial} from './grant_trial.js';
import {nextId} from '../state/index.js';
import {selectArbiter} from './select_arbiter.js';

/** Requests a grant to run a suspect on a target; true when this node is the arbiter and grants it. */
export function requestTrial(
  step: Step,
  suspect: Suspect,
  targetId: TargetId,
): boolean {
  const {nowMs} = step;
  if (suspect.ask || (suspect.denied.get(targetId) ?? 0) > nowMs) return false;
  const arbiter = selectArbiter(step, targetId);
  if (arbiter === step.state.self.nodeId) {
    const isGranted = grantTrial(step, suspect.fingerprint, targetId);
    recordDecision(step, suspect, targetId, isGranted);
    return isGranted;
  }
  const callId = nextId<OperationId>(step, 'op');
  suspect.ask = {callId, targetId};
  step.effects.push({
    type: 'peerAsk',
    area: 'quarantine',
    to: arbiter,
    callId,
    timeoutMs: QUARANTINE_TIMING.askTimeoutMs,
    message: {
      type: 'quarantine.ask',
      fingerprint: suspect.fingerprint,
      targetId,
    },
  });
  return false;
}

function recordDecision(
  {nowMs}: Step,
  suspect: Suspect,
  targetId: TargetId,
  isGranted: boolean,
): void {
  const {deniedMs, grantMs} = QUARANTINE_TIMING;
  if (isGranted) suspect.grant = {targetId, untilMs: nowMs + grantMs};
  else suspect.denied.set(targetId, nowMs + deniedMs);
}
