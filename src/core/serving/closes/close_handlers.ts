import type {AttemptId} from '../../ids/index.js';
import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import type {ServingEvent} from '../events.js';
import {breakClosed} from './break_closed.js';
import {decideClosed} from './decide_closed.js';
import {findEnd} from './find_end.js';
import {findAttempt, listAttempts} from '../hedges/index.js';
import {finishClosed} from './finish_closed.js';
import {isPlannedEnd} from './is_planned_end.js';
import {probeClosed} from './probe_closed.js';
import {resolveTargetLoad} from '../resolve_target_load.js';

/** A probe that is sent at the deadline is answered by then. Callers are kept waiting for a quarter of a second more at most. */
const DEADLINE_GRACE_MS = 200;

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
    const attempt = findAttempt(state, attemptId)?.attempt;
    if (!attempt) return;
    resolveTargetLoad(state, attempt.vmId).closedAtMs = nowMs;
    attempt.closed = {
      atMs: nowMs,
      aliveAtMs: nowMs - aliveMs,
      isPlanned: isPlannedEnd(state, attempt, nowMs),
      probedAtMs: -Infinity,
      isRefused: false,
    };
  },

  /** Applies the result of any probe to the bodies that the target closed. */
  probed(step: ServingStep, event: ProbeAnswered): void {
    const {vmId, outcome, ageMs = 0} = event;
    for (const [record, attempt] of listClosed(step)) {
      const closed = attempt.closed!;
      if (attempt.vmId !== vmId) continue;
      // A probe from before the close tells nothing of the time after it.
      if (step.nowMs - ageMs <= closed.atMs) continue;
      if (outcome === 'refused') closed.isRefused = true;
      if (outcome === 'answered') applyAnswer(step, attempt, event);
      else decideClosed(step, record, attempt);
    }
  },

  /** Decides on bodies that have waited for evidence, and probes their targets again. */
  check(step: ServingStep): void {
    for (const [record, attempt] of listClosed(step)) {
      decideClosed(step, record, attempt);
      if (step.state.requestsByAttempt.has(attempt.attemptId)) {
        probeClosed(step, attempt);
      }
    }
  },

  /** Whether the answer to a probe may decide on a body after the deadline of its request. */
  isAwaitingProbe(step: ServingStep, record: RequestRecord): boolean {
    if (step.nowMs >= record.deadlineAtMs + DEADLINE_GRACE_MS) return false;
    return listRecordClosed(record).some(
      ({closed}) => closed!.proof === undefined && !closed!.isRefused,
    );
  },

  /** Decides on the bodies of a request at once, by the evidence so far: it may not wait longer. Returns whether its response is being completed now. */
  settle(step: ServingStep, record: RequestRecord): boolean {
    return listRecordClosed(record).some(attempt => {
      decideClosed(step, record, attempt, true);
      // A response that was to be completed earlier, and is still here, could not be.
      return attempt.closed!.finishedAtMs === step.nowMs;
    });
  },
};

/** Applies a target's answer to a probe. It counts for the process that sent the body. */
function applyAnswer(
  step: ServingStep,
  attempt: AttemptRecord,
  {bornAtMs}: ProbeAnswered,
): void {
  const closed = attempt.closed!;
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

/** Lists the attempts of a request whose bodies closed. */
function listRecordClosed({
  attempt,
  silentRun,
}: RequestRecord): readonly AttemptRecord[] {
  return [attempt, silentRun?.attempt].filter(
    (one): one is AttemptRecord => one?.closed !== undefined,
  );
}

/** Lists the requests whose bodies closed and are not decided on. */
function listClosed({
  state,
}: ServingStep): readonly (readonly [RequestRecord, AttemptRecord])[] {
  const undecided: (readonly [RequestRecord, AttemptRecord])[] = [];
  for (const [record, attempt] of listAttempts(state)) {
    if (!attempt.closed || attempt.closed.proof !== undefined) continue;
    undecided.push([record, attempt]);
  }
  return undecided;
}
