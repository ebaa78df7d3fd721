import type {ConfigConflict} from '../config/types.js';
import type {FileFault} from '../config/files/index.js';

/** Details of a refused `publish`: faults with `ConfigInvalid`, conflicts with `ConfigConflict`. */
export interface PublishRefusalDetails {
  readonly faults?: readonly FileFault[];
  readonly conflicts?: readonly ConfigConflict[];
}
