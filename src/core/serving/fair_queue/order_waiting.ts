import type {RequestRecord, ServingStep} from '../types.js';
import {compareUrgency} from './compare_urgency.js';
import {isPoolShared} from './is_pool_shared.js';
import {needsGuarantee} from './needs_guarantee.js';
import {resolvePoolWork} from './resolve_pool_work.js';
import {resolveServiceTags} from './resolve_service_tags.js';
import {resolveWeights} from './resolve_weights.js';
import {updateLevel} from './update_level.js';

/**
 * Orders the requests that wait for a pool, in place: streams that callers have
 * part of, then by priority, then requests that can still meet their goal, then
 * the organisation with the least service relative to its weight. The first
 * request of a less urgent priority that has had less than its guaranteed part
 * is moved ahead of the others. Where the mechanism is disabled or the pool is not
 * shared, the order is by urgency alone.
 */
export function orderWaiting(
  step: ServingStep,
  pool: string,
  waiting: RequestRecord[],
): void {
  const {state, nowMs} = step;
  if (resolveWeights(state)) updateLevel(step, pool, waiting);
  if (!isPoolShared(state, pool)) {
    waiting.sort((a, b) => compareUrgency(a, b, nowMs));
    return;
  }
  if (waiting.length < 2) return;
  const partialFirst = (a: RequestRecord, b: RequestRecord) =>
    Number(b.hasPartialResponse) - Number(a.hasPartialResponse);
  waiting.sort((a, b) => partialFirst(a, b) || compareUrgency(a, b, nowMs));
  const tags = resolveServiceTags(state, waiting, nowMs);
  const lateness = ({goalAtMs}: RequestRecord) => (nowMs > goalAtMs ? 1 : 0);
  waiting.sort(
    (a, b) =>
      partialFirst(a, b) ||
      a.priority - b.priority ||
      lateness(a) - lateness(b) ||
      tags.get(a)! - tags.get(b)! ||
      a.goalAtMs - b.goalAtMs,
  );
  moveGuaranteed(step, pool, waiting);
}

function moveGuaranteed(
  {state, nowMs}: ServingStep,
  pool: string,
  waiting: RequestRecord[],
): void {
  const work = resolvePoolWork(state.fairQueue, pool, nowMs);
  const first = waiting.findIndex(one => !one.hasPartialResponse);
  if (first < 0) return;
  let {priority} = waiting[first]!;
  for (let at = first + 1; at < waiting.length; at++) {
    const record = waiting[at]!;
    if (record.priority <= priority) continue;
    ({priority} = record);
    if (!needsGuarantee(work, priority, nowMs)) continue;
    waiting.splice(at, 1);
    waiting.splice(first, 0, record);
  }
}
