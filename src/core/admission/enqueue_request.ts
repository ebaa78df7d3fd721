import type {Refusal} from '../errors/index.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {createRefusal} from '../errors/index.js';
import {estimateRunMs} from './estimate_run_ms.js';
import {estimateWaitMs} from './estimate_wait_ms.js';
import {openTicket} from './open_ticket.js';
import {putInQueue} from './put_in_queue.js';
import {queueOf} from './queue_of.js';

/**
 * Fraction of the estimated wait that is nearly certain: a load peak may end,
 * and queues then drain faster.
 */
const CERTAIN_WAIT_SHARE = 0.7;
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 30_000;

/** Queues a new request, or returns a refusal when the queue is full or the deadline cannot be met. */
export function enqueueRequest(
  step: Step,
  record: RequestRecord,
): Refusal | undefined {
  const ticket = openTicket(step, record);
  const refusal = checkQueue(step, ticket);
  if (refusal) {
    step.state.admission.tickets.delete(record.info.requestId);
    return refusal;
  }
  putInQueue(step, ticket, false);
  return undefined;
}

function checkQueue(step: Step, ticket: Ticket): Refusal | undefined {
  const {info} = ticket.record;
  const {service} = info;
  const limit = step.state.config.document.services.get(service)?.maxQueue ?? 0;
  const waitMs = estimateWaitMs(step, ticket);
  if (queueOf(step, service).size >= limit) {
    return createRefusal('QueueFull', 'not-run', {
      params: {service},
      retryAfterMs: drawRetryMs(step, waitMs),
    });
  }
  if (!step.state.admission.options.deadlineRefusal) return undefined;
  const neededMs = CERTAIN_WAIT_SHARE * waitMs + estimateRunMs(step, info);
  const excessMs = step.nowMs + neededMs - info.deadlineAtMs;
  if (excessMs <= 0) return undefined;
  return createRefusal('DeadlineUnreachable', 'not-run', {
    retryAfterMs: drawRetryMs(step, excessMs),
  });
}

/**
 * Retry delay after which the given wait should have drained, with jitter so
 * that callers do not retry together.
 */
function drawRetryMs(step: Step, waitMs: number): number {
  const jitter = 0.5 + step.state.random.next();
  const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
  return Math.ceil(boundedMs * jitter);
}
