import type {RequestRecord} from '../requests/types.js';

/** Admission's account of one live request. */
export interface Ticket {
  readonly record: RequestRecord;
  /** Prompt and expected output tokens; charged to the organisation. */
  readonly estimatedTokens: number;
  /** Long by estimate, or because it outlived its estimate. */
  isLong: boolean;
  isQueued: boolean;
  /** Version of the target that it ran on, for streams that must continue exactly. */
  version?: string;
}
