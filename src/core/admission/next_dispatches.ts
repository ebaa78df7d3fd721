import type {Dispatch} from './dispatch.js';
import type {PriorityQueue} from './priority_queue.js';
import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {queueOf} from './queue_of.js';
import {selectTarget} from '../routing/index.js';

/** Organisations whose first request is tried when the one in turn finds no target. */
const MAX_TRIES = 4;
/** A long request that waited longer no longer leaves slots free for short ones. */
const LONG_AGED_MS = 4000;

/** Slots that long requests leave free for short ones, in all that a node may fill. */
const FREE_FOR_SHORT_SLOTS = 4;

interface TakeRules {
  readonly onlyAged?: boolean;
  readonly leaveFreeSlots?: number;
}

/** Takes off the queues a request that a target can start now; the caller accounts for it before the next call. */
export function nextDispatches(step: Step): Dispatch[] {
  const {ready} = step.state.admission;
  for (const service of ready) {
    const dispatch = nextOf(step, service);
    if (dispatch) return [dispatch];
    ready.delete(service);
  }
  return [];
}

function nextOf(step: Step, service: ServiceName): Dispatch | undefined {
  const queue = queueOf(step, service);
  const {longShare} = step.state.admission.options;
  const leaveFreeSlots = longShare ? FREE_FOR_SHORT_SLOTS : 0;
  const dispatch =
    takeFrom(step, queue.long, {onlyAged: true}) ??
    takeFrom(step, queue.short) ??
    takeFrom(step, queue.long, {leaveFreeSlots});
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

function takeFrom(
  step: Step,
  queue: PriorityQueue,
  rules: TakeRules = {},
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
