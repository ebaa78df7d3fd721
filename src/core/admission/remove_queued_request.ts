import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Takes a request off the queue; false when it was not there. */
export function removeQueuedRequest(
  step: Step,
  record: RequestRecord,
): boolean {
  const queue = step.state.admission.queues.get(record.info.service) ?? [];
  const at = queue.indexOf(record.info.requestId);
  if (at < 0) return false;
  queue.splice(at, 1);
  return true;
}
