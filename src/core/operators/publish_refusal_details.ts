import type {ConfigConflict} from '../config/types.js';
import type {FileFault} from '../config/files/index.js';

/** Details of a refused `publish`: `faults` for `ConfigInvalid`, `conflicts` for `ConfigConflict`. */
export interface PublishRefusalDetails {
  readonly faults?: readonly FileFault[];
  readonly conflicts?: readonly ConfigConflict[];
}
