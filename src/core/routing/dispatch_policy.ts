import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';

/** Chooses a target for the request at the head of a queue. */
export interface DispatchPolicy {
  /** Undefined leaves the request in the queue. */
  select(step: Step, record: RequestRecord): Target | undefined;
}
