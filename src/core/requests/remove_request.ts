import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {releaseInFlight} from '../limits/index.js';
import {removeQueuedRequest} from '../admission/index.js';

/** Removes a request whose final answer is decided; it cannot be dispatched afterwards. */
export function removeRequest(step: Step, record: RequestRecord): void {
  const {byId, deadlines} = step.state.requests;
  removeQueuedRequest(step, record);
  deadlines.remove(record);
  byId.delete(record.info.requestId);
  releaseInFlight(step, record.info);
}
