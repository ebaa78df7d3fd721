import type {RequestRecord} from '../requests/types.js';
import type {Target} from '../targets/types.js';

/** A dequeued request and the target selected for it. */
export interface Dispatch {
  readonly record: RequestRecord;
  readonly target: Target;
}
