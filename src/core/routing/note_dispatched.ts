import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {loadOf} from './load_of.js';
import {noteLongRunning} from '../admission/index.js';
import {noteCreditUsed} from '../credits/index.js';
import {refreshTarget} from './refresh_target.js';

/** Occupies a slot of a target for a request whose attempt was just opened. */
export function noteDispatched(
  step: Step,
  record: RequestRecord,
  target: Target,
): void {
  const {attemptId} = record.attempt!;
  loadOf(step, target.targetId).own.set(attemptId, step.nowMs);
  noteCreditUsed(step, target);
  noteLongRunning(step, record, true);
  refreshTarget(step, target.targetId);
}
