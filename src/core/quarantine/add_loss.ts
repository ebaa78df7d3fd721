import type {Fingerprint} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {Suspect} from './suspect.js';
import type {TargetLoss} from './target_loss.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {evaluateSuspect} from './evaluate_suspect.js';

/** Records a fingerprint as a suspect of a loss; returns whether that is new. */
export function addLoss(
  step: Step,
  fingerprint: Fingerprint,
  loss: TargetLoss,
  retentionMs: number = QUARANTINE_TIMING.suspectMs,
): boolean {
  const {suspects} = step.state.quarantine;
  const key = `${loss.targetId}#${loss.bootId}`;
  const suspect = suspects.get(fingerprint) ?? createSuspect(fingerprint);
  const isNew = !suspect.losses.has(key);
  suspect.losses.set(key, loss);
  suspect.untilMs = Math.max(suspect.untilMs, step.nowMs + retentionMs);
  delete suspect.grant;
  loss.fingerprints.add(fingerprint);
  suspects.delete(fingerprint);
  suspects.set(fingerprint, suspect);
  dropOldest(step);
  evaluateSuspect(step, suspect);
  return isNew;
}

function createSuspect(fingerprint: Fingerprint): Suspect {
  return {
    fingerprint,
    losses: new Map(),
    untilMs: 0,
    runs: 0,
    denied: new Map(),
  };
}

function dropOldest(step: Step): void {
  const {suspects} = step.state.quarantine;
  if (suspects.size <= QUARANTINE_TIMING.maxSuspects) return;
  const oldest = suspects.keys().next().value;
  if (oldest !== undefined) suspects.delete(oldest);
}
