import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {noteRequestOver} from '../limits/index.js';
import {removeQueuedRequest} from '../admission/index.js';

/** Removes a request whose final answer is decided; it cannot be dispatched afterwards. */
export function forgetRequest(step: Step, record: RequestRecord): void {
  const {byId, deadlines} = step.state.requests;
  removeQueuedRequest(step, record);
  deadlines.remove(record);
  byId.delete(record.info.requestId);
  noteRequestOver(step, record.info);
}
