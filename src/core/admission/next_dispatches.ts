import type {Dispatch} from './dispatch.js';
import type {PriorityQueue} from './priority_queue.js';
import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {queueOf} from './queue_of.js';
import {selectTarget} from '../routing/index.js';

/** Maximum organisations whose first request is tried when the one in turn has no eligible target. */
const MAX_TRIES = 4;
/** A long request that has waited this long no longer leaves slots free for short ones. */
const LONG_AGED_MS = 4000;

/** Slots that long requests leave free for short ones, out of all that a node may fill. */
const FREE_FOR_SHORT_SLOTS = 4;

interface DequeueRules {
  readonly onlyAged?: boolean;
  readonly leaveFreeSlots?: number;
}

/**
 * Dequeues a request that a target can start now, at most one: the caller must
 * account for it before the next call.
 */
export function nextDispatches(step: Step): Dispatch[] {
  const {ready} = step.state.admission;
  for (const service of ready) {
    const dispatch = nextDispatchOf(step, service);
    if (dispatch) return [dispatch];
    ready.delete(service);
  }
  return [];
}

function nextDispatchOf(
  step: Step,
  service: ServiceName,
): Dispatch | undefined {
  const queue = queueOf(step, service);
  const {longShare} = step.state.admission.options;
  const leaveFreeSlots = longShare ? FREE_FOR_SHORT_SLOTS : 0;
  const dispatch =
    dequeue(step, queue.long, {onlyAged: true}) ??
    dequeue(step, queue.short) ??
    dequeue(step, queue.long, {leaveFreeSlots});
  if (!dispatch) {
    if (queue.short.size > 0) step.state.admission.shortWaiting.add(service);
    return undefined;
  }
  queue.allRate.add(step.nowMs);
  const ticket = step.state.admission.tickets.get(
    dispatch.record.info.requestId,
  )!;
  if (!ticket.isLong) queue.shortRate.add(step.nowMs);
  return dispatch;
}

function dequeue(
  step: Step,
  queue: PriorityQueue,
  rules: DequeueRules = {},
): Dispatch | undefined {
  if (queue.size === 0) return undefined;
  for (const {ticket, take} of queue.candidates(MAX_TRIES)) {
    if (rules.onlyAged && !isAged(step, ticket)) continue;
    const {record} = ticket;
    const target = selectTarget(step, record, rules.leaveFreeSlots);
    if (!target) continue;
    take();
    ticket.isQueued = false;
    if (target.version !== undefined) ticket.version = target.version;
    return {record, target};
  }
  return undefined;
}

function isAged(step: Step, {record}: Ticket): boolean {
  return step.nowMs - record.requeuedAtMs >= LONG_AGED_MS;
}
