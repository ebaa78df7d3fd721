import type {AttemptId} from '../../ids/index.js';
import type {RequestRecord, ServingStep} from '../types.js';
import {count} from '../count.js';
import {findRunTarget, keepSilentRun} from '../hedges/index.js';
import {logDecision} from '../log_decision.js';
import {makeId} from '../../ids/index.js';
import {retryBudget} from '../retries/index.js';
import {selectPeer} from './select_peer.js';

/** Nodes that one request is sent to at most: the first ones may have lost the path too, and not noticed yet. */
const MAX_PEERS = 3;

/** Sends a request to another node, which passes it on to a target. Returns false if there is none. A run that is in progress is kept beside it; a request that came from another node is never passed on again. */
export function forwardRequest(
  step: ServingStep,
  record: RequestRecord,
): boolean {
  const {state, nowMs} = step;
  const {request, route, triedPeers, service} = record;
  if (request.forwarded || triedPeers.size >= MAX_PEERS) return false;
  const peer = selectPeer(step, record);
  if (!peer) return false;
  state.idCounter += 1;
  const attemptId = makeId<AttemptId>(
    `${request.requestId}.${state.idCounter.toString(36)}`,
  );
  const {nodeId, callerAddress} = peer;
  const {forwarding} = state;
  // The node that passes the request on counts it.
  if (triedPeers.size === 0) {
    retryBudget.removeRequest(state, service, nowMs);
  }
  triedPeers.add(nodeId);
  keepSilentRun(step, record);
  record.forward = {
    attemptId,
    nodeId,
    incarnation: state.peers.get(nodeId)?.digest.incarnation,
    sentAtMs: nowMs,
    progressAtMs: nowMs,
  };
  forwarding.byAttempt.set(attemptId, record);
  forwarding.inFlight.set(nodeId, (forwarding.inFlight.get(nodeId) ?? 0) + 1);
  const priorRunCount = record.possibleRunCount;
  record.verdict = 'may-have-run';
  record.possibleRunCount += 1;
  count(step, 'forwards', 1, {service});
  logDecision(step, 'info', 'requests', 'request forwarded', {
    requestId: request.requestId,
    callerId: request.callerId,
    route: route.name,
    peer: nodeId,
    peerAgeMs: Math.round(peer.ageMs),
    send: triedPeers.size,
    priorRunCount,
    beside: findRunTarget(record.silentRun),
    waitedMs: Math.round(nowMs - request.arrivedAtMs),
  });
  step.effects.push({
    type: 'startForward',
    requestId: request.requestId,
    attemptId,
    nodeId,
    callerAddress,
    timeoutMs: Math.max(1, record.deadlineAtMs - nowMs),
    priorRunCount,
    isStream: route.kind === 'streaming',
    isResumable: route.isResumable,
  });
  return true;
}
