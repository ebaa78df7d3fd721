import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Whether a request is currently classified as long. */
export function isLong(step: Step, record: RequestRecord): boolean {
  const {tickets} = step.state.admission;
  return tickets.get(record.info.requestId)?.isLong ?? false;
}
