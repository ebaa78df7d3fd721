import type {RequestRecord, ServingStep} from '../types.js';
import type {ForwardRecord} from './types.js';
import {AVOID_PEER_MS} from './avoid_peer_ms.js';
import {findForward, findRunTarget} from '../hedges/index.js';
import {findRetryDenial} from '../find_retry_denial.js';
import {forwardHandlers} from './forward_handlers.js';
import {forwardRequest} from './forward_request.js';
import {isPathDown} from '../reachability/index.js';
import {logDecision} from '../log_decision.js';
import {selectSuccessor} from '../select_successor.js';
import {sendAttempt} from '../send_attempt.js';
import {listPeerNodes} from '../relays/list_peer_nodes.js';

/** A peer without a digest for longer has stopped, or is partitioned from this node. */
const PEER_TIMEOUT_MS = 1500;
/** Longer where relays report peers. */
const RELAYED_PEER_TIMEOUT_MS = 2600;
/** A stream without an event for this long is taken from its peer; longer than the peer takes to move it from a stalled target. */
const STREAM_STALL_MS = 2000;

/** A digest this long after a close was sent after it. */
const DIGEST_DELAY_MS = 100;

/** Sends requests elsewhere too whose peers have fallen silent, if they may be sent again. */
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
    const {forward} = findForward(state, attemptId)!;
    const {nodeId, startedAtMs, progressAtMs, closedAtMs} = forward;
    const peerAgeMs = nodes.get(nodeId)?.ageMs ?? Infinity;
    if (closedAtMs !== undefined) {
      const isLeaving = nodes.get(nodeId)?.isLeaving === true;
      decideClosed(step, record, forward, {
        heardAtMs: nowMs - peerAgeMs,
        isLeaving,
      });
      continue;
    }
    if (record.forward !== forward) continue;
    const isSilent =
      peerAgeMs > timeoutMs ||
      (startedAtMs !== undefined && nowMs - progressAtMs > STREAM_STALL_MS);
    if (!isSilent || findRetryDenial(step, record) !== undefined) continue;
    avoidedUntilMs.set(nodeId, nowMs + AVOID_PEER_MS);
    sendBeside(step, record, Math.min(peerAgeMs, nowMs - progressAtMs));
  }
}

/** Sends a request whose peer is silent to another target or peer too. */
function sendBeside(
  step: ServingStep,
  record: RequestRecord,
  silentMs: number,
): void {
  const {nodeId} = record.forward!;
  if (isPathDown(step.state, record.service)) {
    if (!forwardRequest(step, record)) return;
  } else {
    const placement = selectSuccessor(step, record);
    if (!placement) return;
    sendAttempt(step, record, placement);
  }
  const {request, attempt, forward} = record;
  logDecision(step, 'warn', 'requests', 'request sent beside a silent peer', {
    requestId: request.requestId,
    callerId: request.callerId,
    from: nodeId,
    to: findRunTarget({attempt, forward}),
    silentMs: Math.round(silentMs),
  });
}

/** Decides whether a body that closed is complete: only if its node, last heard at `heardAtMs`, went on, or was leaving and ended with its last request. */
function decideClosed(
  step: ServingStep,
  record: RequestRecord,
  forward: ForwardRecord,
  {
    heardAtMs,
    isLeaving,
  }: {readonly heardAtMs: number; readonly isLeaving: boolean},
): void {
  const {attemptId, nodeId, incarnation, closedAtMs = 0} = forward;
  if (forward.isFinished) return;
  const {digest} = step.state.peers.get(nodeId) ?? {};
  const isSame =
    incarnation === undefined || digest?.incarnation === incarnation;
  const isHeard = heardAtMs > closedAtMs + DIGEST_DELAY_MS;
  if (isSame && (isHeard || isLeaving)) {
    forward.isFinished = true;
    step.effects.push({type: 'finishAnswer', attemptId});
    return;
  }
  if (step.nowMs - closedAtMs < PEER_TIMEOUT_MS) return;
  step.effects.push({type: 'cancelAttempt', attemptId});
  forwardHandlers.failed(
    step,
    {record, forward},
    {
      fault: 'broken',
      detail: 'body ended with its process',
    },
  );
}
