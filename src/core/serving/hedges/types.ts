import type {AttemptRecord} from '../types.js';
import type {ForwardRecord} from '../forwarding/types.js';

/** What works on a request: an attempt of this node, or a forward. */
export interface Run {
  readonly attempt?: AttemptRecord;
  readonly forward?: ForwardRecord;
}
