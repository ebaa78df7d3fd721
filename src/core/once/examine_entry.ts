import type {OnceClaim} from './once_claim.js';
import type {OnceEntry} from './once_entry.js';
import type {OperationId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {StoreEntry} from '../store/types.js';
import {answerRecorded} from './answer_recorded.js';
import {dropClaim} from './drop_claim.js';
import {giveUpClaim} from './give_up_claim.js';
import {isOnceExpired} from './is_once_expired.js';
import {livePeers} from '../membership/index.js';
import {makeId} from '../ids/index.js';
import {nextId} from '../state/index.js';
import {parseOnceEntry} from './parse_once_entry.js';
import {holdClaim} from './hold_claim.js';
import {writeClaim} from './write_claim.js';

const ASK_TIMEOUT_MS = 1000;

/** Advances a claim according to the entry found under its key. */
export function examineEntry(
  step: Step,
  claim: OnceClaim,
  found: StoreEntry | undefined,
): void {
  claim.examinationsLeft -= 1;
  claim.version = found?.version ?? 0;
  const entry = found && parseOnceEntry(found.value);
  if (claim.examinationsLeft <= 0 || (found && !entry)) {
    giveUpClaim(step, claim, 'MayHaveRun', 'may-have-run');
  } else if (!entry) {
    claim.phase = 'claiming';
    writeClaim(step, claim);
  } else if (entry.nonce === claim.nonce) {
    holdClaim(step, claim, claim.version);
  } else if (isOnceExpired(entry, step.nowMs)) {
    takeOver(step, claim);
  } else {
    handleOtherEntry(step, claim, entry);
  }
}

function handleOtherEntry(
  step: Step,
  claim: OnceClaim,
  entry: OnceEntry,
): void {
  const {incarnation} = step.state.self;
  const record = claim.record!;
  if (entry.bodyDigest !== record.info.bodyDigest) {
    giveUpClaim(step, claim, 'IdempotencyKeyReused', 'not-run');
  } else if (entry.state !== 'claimed') {
    dropClaim(step, claim);
    answerRecorded(step, record, entry);
  } else if (entry.incarnation === incarnation) {
    // A claim that this incarnation has dropped was never dispatched.
    takeOver(step, claim);
  } else {
    queryHolder(step, claim, entry);
  }
}

function takeOver(step: Step, claim: OnceClaim): void {
  claim.phase = 'taking';
  writeClaim(step, claim);
}

/** Only the holder can report whether it dispatched; without its answer the request may have run. */
function queryHolder(step: Step, claim: OnceClaim, entry: OnceEntry): void {
  const holder = livePeers(step.state, step.nowMs).find(
    peer => peer.incarnation === entry.incarnation,
  );
  if (!holder) {
    giveUpClaim(step, claim, 'MayHaveRun', 'may-have-run');
    return;
  }
  const callId = nextId<OperationId>(step, 'op');
  claim.phase = 'asking';
  step.state.once.operations.set(callId, claim);
  step.effects.push({
    type: 'peerAsk',
    area: 'once',
    to: holder.nodeId,
    callId,
    timeoutMs: ASK_TIMEOUT_MS,
    message: {
      type: 'once.ask',
      onceKey: claim.onceKey,
      incarnation: makeId(entry.incarnation),
      claim: entry.nonce,
    },
  });
}
