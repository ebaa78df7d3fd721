import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';

/** Chooses a target for the request at the head of a queue. */
export interface DispatchPolicy {
  /** Undefined leaves the request in the queue; `leaveFreeSlots` stay free at the target chosen. */
  select(
    step: Step,
    record: RequestRecord,
    leaveFreeSlots: number,
  ): Target | undefined;
}
