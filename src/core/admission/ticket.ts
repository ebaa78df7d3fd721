import type {RequestRecord} from '../requests/types.js';

/** Scheduling state of one live request. */
export interface Ticket {
  readonly record: RequestRecord;
  /** Prompt tokens plus expected output tokens; charged to the organisation. */
  readonly estimatedTokens: number;
  /** Long by estimate, or because its output passed the long threshold. */
  isLong: boolean;
  isQueued: boolean;
  /** Version of the target that it last ran on; a deterministic stream resumes only on the same version. */
  version?: string;
}
