import type {Fingerprint} from '../ids/index.js';
import type {Peer} from '../membership/types.js';
import type {QuarantineMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {livePeers} from '../membership/index.js';

/** Maximum receivers of a message; each forwards what is new to it, which reaches the other peers. */
const FAN_OUT = 24;

type SuspectsMessage = Extract<
  QuarantineMessage,
  {type: 'quarantine.suspects'}
>;

/** Sends peers the suspects and clearances that changed since the last message. */
export function sendSuspects(step: Step): void {
  const {outbox} = step.state.quarantine;
  if (outbox.suspects.size === 0 && outbox.cleared.size === 0) return;
  const message = createMessage(step);
  for (const {nodeId} of choosePeers(step)) {
    step.effects.push({type: 'peerSend', to: nodeId, message});
  }
}

function createMessage(step: Step): SuspectsMessage {
  const {outbox, suspects} = step.state.quarantine;
  const changed = drain(outbox.suspects).map(one => suspects.get(one));
  return {
    type: 'quarantine.suspects',
    suspects: changed
      .filter(suspect => suspect !== undefined)
      .map(({fingerprint, losses, untilMs}) => ({
        fingerprint,
        losses: [...losses.values()].map(loss => ({
          targetId: loss.targetId,
          bootId: loss.bootId,
          isConfirmed: loss.isConfirmed,
        })),
        remainingMs: untilMs - step.nowMs,
      })),
    cleared: drain(outbox.cleared),
  };
}

function drain(pending: Set<Fingerprint>): Fingerprint[] {
  const batch = [...pending].slice(0, QUARANTINE_TIMING.maxMessageSuspects);
  for (const fingerprint of batch) pending.delete(fingerprint);
  return batch;
}

function choosePeers(step: Step): Peer[] {
  const peers = livePeers(step.state, step.nowMs);
  const {random} = step.state;
  while (peers.length > FAN_OUT) {
    peers.splice(random.nextInt(peers.length), 1);
  }
  return peers;
}
