import type {AttemptId, RequestId} from '../ids/index.js';
import type {RequestRecord} from './request_record.js';

/** Live requests of this node. */
export interface RequestsState {
  readonly byId: Map<RequestId, RequestRecord>;
  readonly byAttempt: Map<AttemptId, RequestRecord>;
}
