import type {RequestRecord} from '../requests/types.js';
import type {Target} from '../targets/types.js';

/** A request taken off the queue, and the target chosen for it. */
export interface Dispatch {
  readonly record: RequestRecord;
  readonly target: Target;
}
