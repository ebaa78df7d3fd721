import type {DispatchPolicy} from './dispatch_policy.js';
import type {RequestRecord} from '../requests/types.js';
import type {ServicePool} from './service_pool.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetId} from '../ids/index.js';
import {grantedTarget} from '../quarantine/index.js';
import {isEligible} from './is_eligible.js';
import {poolOf} from './pool_of.js';
import {refreshTarget} from './refresh_target.js';
import {scoreTarget} from './score_target.js';

/** Number of targets drawn at random for comparison. */
const CHOICES = 2;
/** Maximum draws when targets are ineligible, before the request stays in the queue. */
const MAX_DRAWS = 8;
/** Number of targets with the cached prefix that are compared as well. */
const MAX_HOLDERS = 2;

/**
 * Power of two choices: compares two random targets with free slots, and targets
 * that cache the prompt's prefix, and selects the one with the lowest score.
 */
export class TwoChoicesPolicy implements DispatchPolicy {
  select(
    step: Step,
    record: RequestRecord,
    leaveFreeSlots: number,
  ): Target | undefined {
    const pool = poolOf(step, record.info.service);
    if (pool.free.size === 0) return undefined;
    let best: Target | undefined;
    let bestScore = Infinity;
    for (const targetId of drawCandidates(step, record, pool)) {
      const target = step.state.targets.byId.get(targetId)!;
      if (!isEligible(step, record, target, leaveFreeSlots)) continue;
      const score = scoreTarget(step, record, target);
      if (score >= bestScore) continue;
      best = target;
      bestScore = score;
    }
    return best;
  }
}

/**
 * Yields the target granted to a suspect, then free holders of the longest
 * prefix, then random members with a free slot.
 */
function* drawCandidates(
  step: Step,
  record: RequestRecord,
  pool: ServicePool,
): Generator<TargetId> {
  const granted = grantedTarget(step, record.info);
  if (granted && pool.free.has(granted)) yield granted;
  yield* freeHolders(step, record, pool);
  for (let draw = 0; draw < MAX_DRAWS && pool.free.size > 0; draw++) {
    const targetId = pool.free.at(step.state.random.nextInt(pool.free.size))!;
    if (isStillFree(step, pool, targetId)) yield targetId;
    if (draw + 1 >= CHOICES && pool.free.size > MAX_DRAWS) return;
  }
}

function* freeHolders(
  step: Step,
  {info}: RequestRecord,
  pool: ServicePool,
): Generator<TargetId> {
  if (!step.state.admission.options.prefixAffinity) return;
  const longest = info.prefixHashes.at(-1);
  const holders =
    longest === undefined ? [] : step.state.routing.prefixes.holders(longest);
  let left = MAX_HOLDERS;
  for (const targetId of holders ?? []) {
    if (!pool.free.has(targetId)) continue;
    if (isStillFree(step, pool, targetId)) yield targetId;
    if (--left <= 0) return;
  }
}

/** Bars change without an event to routing: removes a target from the free set when it is gone or full. */
function isStillFree(
  step: Step,
  pool: ServicePool,
  targetId: TargetId,
): boolean {
  if (!step.state.targets.byId.has(targetId)) {
    pool.free.delete(targetId);
    pool.isOutdated = true;
    return false;
  }
  refreshTarget(step, targetId);
  return pool.free.has(targetId);
}
