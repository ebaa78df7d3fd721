import type {RequestRecord} from '../requests/types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServiceQueue} from './service_queue.js';
import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {isReleasedSlotUsable} from '../routing/index.js';
import {queueOf} from './queue_of.js';

/** Wait of a short request after which a long stream is paused. */
const PAUSE_AFTER_MS = 100;
/** Maximum pauses of one stream. */
const MAX_PAUSES = 2;
/** Minimum run time of a stream before it is paused, or paused again. */
const MIN_RUN_MS = 3000;
/** Maximum long streams that are examined per service. */
const MAX_EXAMINED = 8;

/**
 * Selects running long streams to pause, so that waiting short requests get their
 * slots. The caller cancels each attempt and requeues the request.
 */
export function selectPauses(step: Step): RequestRecord[] {
  const {options, shortWaiting} = step.state.admission;
  if (!options.pauses) return [];
  const pauses: RequestRecord[] = [];
  for (const service of shortWaiting) {
    const ticket = choosePause(step, service);
    if (ticket) pauses.push(ticket.record);
  }
  shortWaiting.clear();
  return pauses;
}

function choosePause(step: Step, service: ServiceName): Ticket | undefined {
  const queue = queueOf(step, service);
  if (!isShortWaiting(step, queue)) return undefined;
  let examined = 0;
  for (const ticket of queue.runningLong) {
    if (mayPause(step, ticket)) return ticket;
    if (++examined >= MAX_EXAMINED) return undefined;
  }
  return undefined;
}

function isShortWaiting(step: Step, queue: ServiceQueue): boolean {
  for (const {ticket} of queue.short.candidates(1)) {
    return step.nowMs - ticket.record.requeuedAtMs >= PAUSE_AFTER_MS;
  }
  return false;
}

function mayPause(step: Step, {record}: Ticket): boolean {
  const {attempt, info} = record;
  if (!attempt || attempt.firstTokenAtMs === undefined) return false;
  if (!info.stream || info.kind !== 'model' || info.unrepeatable) return false;
  if (record.pauseCount >= MAX_PAUSES || record.isDetached) return false;
  if (step.nowMs - attempt.startedAtMs < MIN_RUN_MS) return false;
  return isReleasedSlotUsable(step, attempt.targetId);
}
