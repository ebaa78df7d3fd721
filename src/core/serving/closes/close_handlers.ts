import type {AttemptId} from '../../ids/index.js';
import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import type {ServingEvent} from '../events.js';
import {breakClosed} from './break_closed.js';
import {decideClosed} from './decide_closed.js';
import {findEnd} from './find_end.js';
import {finishClosed} from './finish_closed.js';
import {isPlannedEnd} from './is_planned_end.js';
import {probeClosed} from './probe_closed.js';

type ProbeAnswered = Extract<ServingEvent, {type: 'probeAnswered'}>;

/**
 * Decides whether bodies that ended with their connections are complete.
 *
 * The kernel closes the connections of a process that has ended as orderly as
 * the process itself closes one behind a complete body. So such a body counts
 * as complete only if the process went on, or was expected to end.
 */
export const closeHandlers = {
  /** Handles the close; the process is known to have run `aliveMs` before. */
  closed(step: ServingStep, attemptId: AttemptId, aliveMs: number): void {
    const {state, nowMs} = step;
    const attempt = state.requestsByAttempt.get(attemptId)?.attempt;
    if (!attempt) return;
    attempt.closed = {
      atMs: nowMs,
      aliveAtMs: nowMs - aliveMs,
      isPlanned: isPlannedEnd(state, attempt, nowMs),
      probedAtMs: -Infinity,
      isProbing: false,
      isRefused: false,
    };
  },

  /** Handles the count of the connections that have outlived a close. */
  settled(
    step: ServingStep,
    attemptId: AttemptId,
    openConnections: number,
  ): void {
    const attempt = step.state.requestsByAttempt.get(attemptId)?.attempt;
    if (!attempt?.closed) return;
    attempt.closed.openConnections = openConnections;
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
      if (outcome === 'answered') applyAnswer(step, attempt, bornAtMs);
      else decideClosed(step, record, attempt);
    }
  },

  /** Decides on bodies that have waited for evidence, and probes their targets again. */
  check(step: ServingStep): void {
    for (const [record, attempt] of listClosed(step)) {
      decideClosed(step, record, attempt);
      if (record.attempt === attempt) probeClosed(step, attempt);
    }
  },

  /** Decides on a body at once, by the evidence so far: its request may not wait longer. Returns whether its response is being completed now. */
  settle(step: ServingStep, record: RequestRecord): boolean {
    const {attempt} = record;
    if (!attempt?.closed) return false;
    decideClosed(step, record, attempt, true);
    // A response that was to be completed earlier, and is still here, could not be.
    return attempt.closed.finishedAtMs === step.nowMs;
  },
};

/** Applies a target's answer to a probe. It counts for the process that sent the body. */
function applyAnswer(
  step: ServingStep,
  attempt: AttemptRecord,
  bornAtMs: number | undefined,
): void {
  const closed = attempt.closed!;
  if (closed.probedAtMs <= closed.atMs) return;
  const isOther = bornAtMs !== undefined && bornAtMs !== attempt.bornAtMs;
  const end = isOther ? 'target restarted' : findEnd(step.state, attempt);
  if (end !== undefined && !closed.isPlanned) {
    breakClosed(step, attempt, end);
  } else if (
    end === undefined &&
    (bornAtMs !== undefined || !closed.isRefused)
  ) {
    // Another process may answer after a refusal.
    finishClosed(step, attempt, 'target answered');
  }
}

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
