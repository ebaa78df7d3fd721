import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {loadOf} from './load_of.js';

/** Failures in a row that eject a target. */
const EJECT_AFTER = 3;
const FIRST_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
/** Share of a service's targets that may be ejected at a time. */
const MAX_EJECTED_SHARE = 1 / 3;

/** Counts a failed attempt; a target that fails again and again is left out for a while. */
export function noteFailure(step: Step, targetId: TargetId): void {
  const {admission, routing, targets} = step.state;
  const load = loadOf(step, targetId);
  load.failures += 1;
  if (load.failures < EJECT_AFTER || !admission.options.ejection) return;
  const target = targets.byId.get(targetId);
  const pool = target && routing.pools.get(target.service);
  if (!pool) return;
  const ends = pool.ejectedUntilMs;
  for (const [id, untilMs] of ends) {
    if (untilMs <= step.nowMs) ends.delete(id);
  }
  const limit = Math.floor(pool.members.size * MAX_EJECTED_SHARE);
  if (!ends.has(targetId) && ends.size >= limit) return;
  const lengthMs = Math.min(
    MAX_EJECTION_MS,
    FIRST_EJECTION_MS * 2 ** load.ejections,
  );
  load.ejections += 1;
  load.failures = 0;
  load.ejectedUntilMs = step.nowMs + lengthMs;
  load.returnedAtMs = load.ejectedUntilMs;
  ends.set(targetId, load.ejectedUntilMs);
  pool.returning.add(targetId);
}
