import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';

/** Selects a target for the request at the head of a queue. */
export interface DispatchPolicy {
  /** Returns undefined to leave the request in the queue; `leaveFreeSlots` slots must stay free. */
  select(
    step: Step,
    record: RequestRecord,
    leaveFreeSlots: number,
  ): Target | undefined;
}
