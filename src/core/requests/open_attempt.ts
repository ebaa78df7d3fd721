import type {AttemptId, TargetId} from '../ids/index.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {noteSuspectRun, targetBoot} from '../quarantine/index.js';

/** Opens an attempt of a request on a target, and indexes the request by both. */
export function openAttempt(
  step: Step,
  record: RequestRecord,
  attemptId: AttemptId,
  targetId: TargetId,
): void {
  const {byAttempt, byTarget} = step.state.requests;
  record.phase = 'running';
  record.attempts += 1;
  record.attempt = {
    attemptId,
    targetId,
    bootId: targetBoot(step, targetId),
    startedAtMs: step.nowMs,
    tokens: 0,
  };
  noteSuspectRun(step, record.info, 1);
  byAttempt.set(attemptId, record);
  const others = byTarget.get(targetId);
  if (others) others.add(record);
  else byTarget.set(targetId, new Set([record]));
}
