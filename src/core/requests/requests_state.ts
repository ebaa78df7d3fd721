import type {AttemptId, RequestId, TargetId} from '../ids/index.js';
import type {DeadlineWheel} from './deadline_wheel.js';
import type {RequestRecord} from './request_record.js';

/** Live requests of this node. */
export interface RequestsState {
  readonly byId: Map<RequestId, RequestRecord>;
  readonly byAttempt: Map<AttemptId, RequestRecord>;
  /** Running requests by target. */
  readonly byTarget: Map<TargetId, Set<RequestRecord>>;
  readonly deadlines: DeadlineWheel;
}
