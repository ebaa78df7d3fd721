import type {EventOf, NodeEvent} from '../events/types.js';
import type {PeerMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {grantTrial} from './grant_trial.js';
import {mergeSuspects} from './merge_suspects.js';
import {noteConnectionLost} from './note_connection_lost.js';
import {noteReport} from './note_report.js';
import {settleTrial} from './settle_trial.js';
import {sweepQuarantine} from './sweep_quarantine.js';
import {sendSuspects} from './send_suspects.js';

/** Reduces the events of the quarantine: lost connections, reports, messages of peers, and expiry. */
export function reduceQuarantine(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'attemptFailed':
      return noteConnectionLost(step, event);
    case 'targetReported':
      return noteReport(step, event);
    case 'peerExchanged':
      for (const message of event.messages) mergeMessage(step, message);
      return;
    case 'peerAsked':
      return answerTrialRequest(step, event);
    case 'peerAnswered':
      if (event.area === 'quarantine') settleTrial(step, event);
      return;
    case 'tick':
      return sweep(step);
    default:
  }
}

function mergeMessage(step: Step, message: PeerMessage): void {
  if (message.type === 'quarantine.suspects') mergeSuspects(step, message);
}

function answerTrialRequest(
  step: Step,
  {callId, message}: EventOf<'peerAsked'>,
): void {
  if (message.type !== 'quarantine.ask') return;
  const isGranted = grantTrial(step, message.fingerprint, message.targetId);
  const reply = {type: 'quarantine.answer', isGranted} as const;
  step.effects.push({type: 'peerAnswer', callId, message: reply});
}

function sweep(step: Step): void {
  const {quarantine} = step.state;
  const {sweepIntervalMs} = QUARANTINE_TIMING;
  if (step.nowMs - quarantine.sweptAtMs < sweepIntervalMs) return;
  quarantine.sweptAtMs = step.nowMs;
  sweepQuarantine(step);
  sendSuspects(step);
}
