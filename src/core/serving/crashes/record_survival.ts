import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import type {CrashState} from './types.js';
import type {PromptPartId} from '../../ids/index.js';
import {addSurvival} from './add_survival.js';

/** Parts that are remembered as sound. */
const MAX_SOUND_PARTS = 4096;

/** Records that a run has begun to answer and went on: nothing in its prompt crashed the target. */
export function recordSurvival(
  {state, nowMs}: ServingStep,
  {request, pool}: RequestRecord,
  attempt: AttemptRecord,
): void {
  const {crashes} = state;
  if (attempt.hasSurvived) return;
  attempt.hasSurvived = true;
  const {survivedByPool} = crashes;
  survivedByPool.set(pool, (survivedByPool.get(pool) ?? 0) + 1);
  const atMs = attempt.startedAtMs ?? attempt.sentAtMs;
  for (const partId of request.sharedPartIds) {
    addSurvival(crashes, partId, atMs, nowMs);
    recordSoundPart(crashes, partId);
  }
}

function recordSoundPart(
  {soundPartIds}: CrashState,
  partId: PromptPartId,
): void {
  soundPartIds.delete(partId);
  soundPartIds.add(partId);
  if (soundPartIds.size <= MAX_SOUND_PARTS) return;
  const [oldest] = soundPartIds;
  soundPartIds.delete(oldest!);
}
