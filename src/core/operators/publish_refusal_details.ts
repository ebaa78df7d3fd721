import type {FileFault} from '../config/files/index.js';

interface Conflict {
  /** Name of a service, or `organisations`. */
  readonly key: string;
  readonly yours: string;
  /** The text in force; null when it was removed. */
  readonly theirs: string | null;
  readonly revision: number;
}

/** Details of a refused `publish`: faults with `ConfigInvalid`, conflicts with `ConfigConflict`. */
export interface PublishRefusalDetails {
  readonly faults?: readonly FileFault[];
  readonly conflicts?: readonly Conflict[];
}
