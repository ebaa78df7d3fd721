import type {EventOf} from '../events/types.js';
import type {OnceMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {giveUpClaim} from './give_up_claim.js';

type Ask = Extract<OnceMessage, {type: 'once.ask'}>;
type Answer = Extract<OnceMessage, {type: 'once.answer'}>;

/** Reports to a peer whether a claim was dispatched; one that was not is abandoned permanently. */
export function answerClaimQuery(
  step: Step,
  {callId}: EventOf<'peerAsked'>,
  ask: Ask,
): void {
  const {onceKey} = ask;
  const state = resolveClaim(step, ask);
  const message = {type: 'once.answer', onceKey, state} as const;
  step.effects.push({type: 'peerAnswer', callId, message});
}

function resolveClaim(step: Step, ask: Ask): Answer['state'] {
  if (ask.incarnation !== step.state.self.incarnation) return 'not-mine';
  const claim = step.state.once.claims.get(ask.onceKey);
  // Dispatched claims are kept until their outcome is stored.
  if (!claim || claim.nonce !== ask.claim) return 'given-up';
  if (claim.phase === 'dispatched' || claim.phase === 'recording') {
    return 'dispatched';
  }
  if (claim.phase !== 'releasing') {
    giveUpClaim(step, claim, 'AlreadyRunning', 'not-run');
  }
  return 'given-up';
}
