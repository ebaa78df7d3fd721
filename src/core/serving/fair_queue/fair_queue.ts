import type {RequestRecord, ServingState, ServingStep} from '../types.js';
import {addWork} from './add_work.js';
import {bookRoomMs} from './book_room_ms.js';
import {isPoolShared} from './is_pool_shared.js';
import {isOverServed} from './is_over_served.js';
import {orderWaiting} from './order_waiting.js';
import {resolvePoolWork} from './resolve_pool_work.js';
import {resolvePriorityUse} from './resolve_priority_use.js';
import {resolveWeights} from './resolve_weights.js';
import {selectRejected} from './select_rejected.js';
import {workTokens} from './work_tokens.js';

/** How organisations and priorities share a pool that is short of capacity. */
interface FairQueue {
  /** Orders the requests that wait for a pool, in place. */
  order(step: ServingStep, pool: string, waiting: RequestRecord[]): void;
  /** Counts a request that this node accepts. */
  recordArrival(step: ServingStep, record: RequestRecord): void;
  /** Counts a request that this node sends to a target. */
  recordAdmitted(step: ServingStep, record: RequestRecord): void;
  /** Whether a request may be sent to a target's own queue: that is left to organisations that are not over-served, at whichever node. */
  canUseTargetQueue(step: ServingStep, record: RequestRecord): boolean;
  /** Whether several organisations or priorities share the pool; otherwise the queue works as without the mechanism. */
  isActive(state: ServingState, pool: string): boolean;
  /** Returns the waiting requests to refuse now, since they or others would wait in vain. */
  selectRejected(
    step: ServingStep,
    pool: string,
    waiting: readonly RequestRecord[],
  ): RequestRecord[];
  /** Time until the pool has room for a request that is refused now; undefined if unknown. Each call takes the room that it returns. */
  bookRoomMs(step: ServingStep, pool: string): number | undefined;
}

/** Weighted fair queueing between organisations; disabled where the configuration has fewer than two. */
export const fairQueue: FairQueue = {
  order: orderWaiting,
  recordArrival({state, nowMs}, {pool, priority}) {
    if (!resolveWeights(state)) return;
    const work = resolvePoolWork(state.fairQueue, pool, nowMs);
    const use = resolvePriorityUse(work, priority, nowMs);
    use.arrivals = addWork(use.arrivals, 1, nowMs);
  },
  recordAdmitted({state, nowMs}, record) {
    if (!resolveWeights(state)) return;
    const {pool, priority, organisationId} = record;
    const work = resolvePoolWork(state.fairQueue, pool, nowMs);
    const use = resolvePriorityUse(work, priority, nowMs);
    const tokens = workTokens(record);
    use.dispatches = addWork(use.dispatches, 1, nowMs);
    use.tokens = addWork(use.tokens, tokens, nowMs);
    work.dispatches = addWork(work.dispatches, 1, nowMs);
    if (organisationId === undefined) return;
    const own = addWork(work.own.get(organisationId), tokens, nowMs);
    work.own.set(organisationId, own);
  },
  canUseTargetQueue({state, nowMs}, record) {
    return !resolveWeights(state) || !isOverServed(state, record, nowMs);
  },
  isActive: isPoolShared,
  selectRejected,
  bookRoomMs({state, nowMs}, pool) {
    return bookRoomMs(state, pool, nowMs);
  },
};
