import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {giveUpClaim} from './give_up_claim.js';
import {writeClaim} from './write_claim.js';

/** Advances a claim after its holder's answer, or the lack of one. */
export function settleClaimQuery(
  step: Step,
  {callId, message}: EventOf<'peerAnswered'>,
): void {
  const {claims, operations} = step.state.once;
  const claim = operations.get(callId);
  if (!claim || !operations.delete(callId)) return;
  const isCurrent = claims.get(claim.onceKey) === claim;
  if (!isCurrent || claim.phase !== 'asking') return;
  const state = message?.type === 'once.answer' ? message.state : undefined;
  if (state === 'given-up') {
    claim.phase = 'taking';
    writeClaim(step, claim);
  } else if (state === 'dispatched') {
    giveUpClaim(step, claim, 'AlreadyRunning', 'may-have-run');
  } else {
    giveUpClaim(step, claim, 'MayHaveRun', 'may-have-run');
  }
}
