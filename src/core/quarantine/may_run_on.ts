import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Suspect} from './suspect.js';
import type {TargetId} from '../ids/index.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {requestTrial} from './request_trial.js';

/** Losses, confirmed or likely, after which a suspect waits until they are decided. */
const MAX_LOSSES = 2;
const LIKELY_MS = 2 * QUARANTINE_TIMING.confirmMs;

/** Keeps a suspect off targets on which any node runs another suspect; other requests may always run. */
export function mayRunOn(
  step: Step,
  {fingerprint}: RequestInfo,
  targetId: TargetId,
): boolean {
  const suspect = step.state.quarantine.suspects.get(fingerprint);
  if (!suspect) return true;
  if (suspect.runs > 0 || countLosses(step, suspect) >= MAX_LOSSES)
    return false;
  if (runsOtherSuspect(step, suspect, targetId)) return false;
  const {grant} = suspect;
  if (grant && grant.untilMs > step.nowMs) return grant.targetId === targetId;
  return requestTrial(step, suspect, targetId);
}

/** A likely loss counts until it should have been confirmed or disproved. */
function countLosses({nowMs}: Step, {losses}: Suspect): number {
  let count = 0;
  for (const {atMs, isConfirmed} of losses.values()) {
    if (isConfirmed || nowMs - atMs < LIKELY_MS) count += 1;
  }
  return count;
}

function runsOtherSuspect(
  step: Step,
  {fingerprint}: Suspect,
  targetId: TargetId,
): boolean {
  const {quarantine, requests} = step.state;
  for (const {info} of requests.byTarget.get(targetId) ?? []) {
    const isOther = info.fingerprint !== fingerprint;
    if (isOther && quarantine.suspects.has(info.fingerprint)) return true;
  }
  return false;
}
