import type {ServingStep} from '../types.js';
import {findRetryDenial} from '../find_retry_denial.js';
import {forwardHandlers} from './forward_handlers.js';
import {listPeerNodes} from '../relays/list_peer_nodes.js';

/** A peer without a digest for longer has stopped, or is partitioned from this node. */
const PEER_TIMEOUT_MS = 1500;
/** Longer where relays report peers. */
const RELAYED_PEER_TIMEOUT_MS = 2600;
/** A stream without an event for this long is taken from its peer; longer than the peer takes to move it from a stalled target. */
const STREAM_STALL_MS = 2000;

/** Takes requests from peers that have fallen silent, if they may be sent elsewhere. */
export function checkForwards(step: ServingStep): void {
  const {state, nowMs} = step;
  const {byAttempt, avoidedUntilMs} = state.forwarding;
  for (const [nodeId, untilMs] of avoidedUntilMs) {
    if (untilMs <= nowMs) avoidedUntilMs.delete(nodeId);
  }
  if (byAttempt.size === 0) return;
  const nodes = listPeerNodes(state, nowMs);
  const timeoutMs = state.exchange.isRelayed
    ? RELAYED_PEER_TIMEOUT_MS
    : PEER_TIMEOUT_MS;
  for (const [attemptId, record] of [...byAttempt]) {
    const {nodeId, startedAtMs, progressAtMs} = record.forward!;
    const peerAgeMs = nodes.get(nodeId)?.ageMs ?? Infinity;
    const isSilent =
      peerAgeMs > timeoutMs ||
      (startedAtMs !== undefined && nowMs - progressAtMs > STREAM_STALL_MS);
    if (!isSilent || findRetryDenial(step, record) !== undefined) continue;
    step.effects.push({type: 'cancelAttempt', attemptId});
    forwardHandlers.failed(step, record, {
      fault: 'broken',
      detail: `peer silent for ${Math.round(Math.min(peerAgeMs, nowMs - progressAtMs))} ms`,
    });
  }
}
