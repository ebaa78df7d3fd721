import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {loadOf} from './load_of.js';

/** Consecutive failures after which a target is ejected. */
const EJECT_AFTER_FAILURES = 3;
const FIRST_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
/** Maximum share of a service's targets that are ejected at the same time. */
const MAX_EJECTED_SHARE = 1 / 3;

/** Counts a failed attempt; repeated failures eject the target, for a time that doubles each time. */
export function noteFailure(step: Step, targetId: TargetId): void {
  const {admission, routing, targets} = step.state;
  const load = loadOf(step, targetId);
  load.failures += 1;
  if (load.failures < EJECT_AFTER_FAILURES || !admission.options.ejection)
    return;
  const target = targets.byId.get(targetId);
  const pool = target && routing.pools.get(target.service);
  if (!pool) return;
  const ejections = pool.ejectedUntilMs;
  for (const [id, untilMs] of ejections) {
    if (untilMs <= step.nowMs) ejections.delete(id);
  }
  const limit = Math.floor(pool.members.size * MAX_EJECTED_SHARE);
  if (!ejections.has(targetId) && ejections.size >= limit) return;
  const durationMs = Math.min(
    MAX_EJECTION_MS,
    FIRST_EJECTION_MS * 2 ** load.ejections,
  );
  load.ejections += 1;
  load.failures = 0;
  load.ejectedUntilMs = step.nowMs + durationMs;
  load.returnedAtMs = load.ejectedUntilMs;
  ejections.set(targetId, load.ejectedUntilMs);
  pool.returning.add(targetId);
}
