import type {RequestRecord, ServingStep} from '../types.js';
import {estimateRatePerS} from './estimate_rate_per_s.js';
import {isOverServed} from './is_over_served.js';
import {isPoolShared} from './is_pool_shared.js';
import {resolveServiceTags} from './resolve_service_tags.js';

const MS_PER_S = 1000;
/** A request is refused only if the queue needs this multiple of its remaining wait: the rate is an estimate, and other requests leave the queue. */
const SLACK = 1.5;
/** Requests at the head of the queue that are never refused. */
const MIN_QUEUE = 4;
/** Guaranteed part of the rate for less urgent priorities, as in the order of the queue. */
const GUARANTEED_SHARE = 0.1;

/**
 * Returns the requests to refuse now, since the queue is longer than what the
 * pool serves within their remaining wait: the least urgent ones of the most
 * over-served organisations, as many as there are requests that would wait in
 * vain. More urgent ones are refused only if their organisation is over-served.
 * `waiting` is in the order of the queue.
 */
export function selectRejected(
  {state, nowMs}: ServingStep,
  pool: string,
  waiting: readonly RequestRecord[],
): RequestRecord[] {
  if (waiting.length <= MIN_QUEUE || !isPoolShared(state, pool)) return [];
  const ratePerS = estimateRatePerS(state, pool, nowMs);
  if (ratePerS === undefined) return [];
  const served = ({waitDeadlineAtMs}: RequestRecord) =>
    (SLACK * ratePerS * (waitDeadlineAtMs - nowMs)) / MS_PER_S;
  const aheadByPriority = new Map<number, number>();
  const guaranteed = new Set<RequestRecord>();
  let kept = 0;
  let excess = 0;
  let last = 0;
  for (const [at, record] of waiting.entries()) {
    const {priority} = record;
    const ahead = aheadByPriority.get(priority) ?? 0;
    aheadByPriority.set(priority, ahead + 1);
    if (ahead < GUARANTEED_SHARE * served(record)) guaranteed.add(record);
    if (at < MIN_QUEUE || kept < served(record)) {
      kept += 1;
    } else if (!guaranteed.has(record)) {
      excess += 1;
      last = at;
    }
  }
  if (excess === 0) return [];
  const tags = resolveServiceTags(state, waiting, nowMs);
  const leastUrgent = Math.max(...aheadByPriority.keys());
  return waiting
    .slice(0, last + 1)
    .filter(one => one.verdict === 'not-run' && !one.hasPartialResponse)
    .filter(one => !guaranteed.has(one))
    .filter(
      one => one.priority === leastUrgent || isOverServed(state, one, nowMs),
    )
    .sort((a, b) => b.priority - a.priority || tags.get(b)! - tags.get(a)!)
    .slice(0, excess);
}
