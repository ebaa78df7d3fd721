import type {AttemptId} from '../../ids/index.js';
import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import type {ServingEvent} from '../events.js';
import {breakClosed} from './break_closed.js';
import {decideClosed} from './decide_closed.js';
import {finishClosed} from './finish_closed.js';
import {probeClosed} from './probe_closed.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** Enough to see that several bodies closed together. */
const MAX_RECENT_CLOSES = 8;

type AttemptClosed = Extract<ServingEvent, {type: 'attemptClosed'}>;
type ProbeAnswered = Extract<ServingEvent, {type: 'probeAnswered'}>;

/**
 * Decides whether bodies that ended with their connections are complete.
 *
 * The kernel closes the connections of a process that has ended as orderly as
 * the process itself closes one behind a complete body. So such a body counts
 * as complete only if the process went on, or was expected to end.
 */
export const closeHandlers = {
  closed(
    step: ServingStep,
    attemptId: AttemptId,
    {status, sinceMs, openConnections}: AttemptClosed,
  ): void {
    const record = step.state.requestsByAttempt.get(attemptId);
    const attempt = record?.attempt;
    if (!attempt) return;
    const atMs = step.nowMs - sinceMs;
    const {recentCloses} = resolveTargetLoad(step.state, attempt.vmId);
    recentCloses.push(atMs);
    if (recentCloses.length > MAX_RECENT_CLOSES) recentCloses.shift();
    attempt.closed = {
      atMs,
      status,
      probedAtMs: -Infinity,
      isProbing: false,
      isRefused: false,
    };
    if (openConnections > 0) {
      finishClosed(step, attempt, 'connection open');
      return;
    }
    probeClosed(step, attempt);
  },

  /** Applies the result of any probe to the bodies that the target closed. */
  probed(step: ServingStep, event: ProbeAnswered): void {
    const {vmId, outcome, bornAtMs} = event;
    for (const [record, attempt] of listClosed(step)) {
      if (attempt.vmId !== vmId) continue;
      const closed = attempt.closed!;
      closed.isProbing = false;
      if (outcome === 'refused') closed.isRefused = true;
      if (outcome !== 'answered') {
        decideClosed(step, record, attempt);
      } else if (bornAtMs !== undefined && bornAtMs !== attempt.bornAtMs) {
        breakClosed(step, attempt, 'target restarted');
      } else if (closed.probedAtMs >= closed.atMs) {
        finishClosed(step, attempt, 'target answered');
      }
    }
  },

  /** Decides on bodies that have waited for evidence, and probes their targets again. */
  check(step: ServingStep): void {
    for (const [record, attempt] of listClosed(step)) {
      decideClosed(step, record, attempt);
      if (record.attempt === attempt) probeClosed(step, attempt);
    }
  },

  /** Decides on a body at once, by the evidence so far: its request may not wait longer. Returns false if no body of the request has closed. */
  settle(step: ServingStep, record: RequestRecord): boolean {
    const {attempt} = record;
    if (!attempt?.closed) return false;
    decideClosed(step, record, attempt, true);
    return attempt.closed.proof !== undefined;
  },
};

/** Lists the requests whose bodies closed and are not decided on. */
function listClosed({
  state,
}: ServingStep): readonly (readonly [RequestRecord, AttemptRecord])[] {
  const undecided: (readonly [RequestRecord, AttemptRecord])[] = [];
  for (const record of state.requestsByAttempt.values()) {
    const {attempt} = record;
    if (!attempt?.closed || attempt.closed.proof !== undefined) continue;
    undecided.push([record, attempt]);
  }
  return undecided;
}
