import type {AttemptId} from '../ids/index.js';
import type {Dispatch} from '../admission/types.js';
import type {Step} from '../state/types.js';
import {nextDispatches} from '../admission/index.js';
import {nextId} from '../state/index.js';
import {noteDispatched} from '../routing/index.js';
import {noteOnceDispatched} from '../once/index.js';

/** Starts every queued request for which a target has a free slot. Runs after each event. */
export function dispatchQueued(step: Step): void {
  for (;;) {
    const dispatches = nextDispatches(step);
    if (dispatches.length === 0) return;
    for (const dispatch of dispatches) {
      startAttempt(step, dispatch);
    }
  }
}

function startAttempt(step: Step, {record, target}: Dispatch): void {
  const {info} = record;
  if (info.unrepeatable && !noteOnceDispatched(step, record)) return;
  const attemptId = nextId<AttemptId>(step, 'at');
  record.phase = 'running';
  record.attempts += 1;
  record.attempt = {
    attemptId,
    targetId: target.targetId,
    startedAtMs: step.nowMs,
    tokens: 0,
  };
  step.state.requests.byAttempt.set(attemptId, record);
  noteDispatched(step, record, target);
  step.effects.push({
    type: 'startAttempt',
    requestId: info.requestId,
    attemptId,
    targetId: target.targetId,
    address: target.address,
    freshConnection: info.unrepeatable,
    resume: record.deliveredTokens > 0,
    priority: info.priority,
    deadlineAtMs: info.deadlineAtMs,
  });
}
