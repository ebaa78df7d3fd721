import type {Entry} from './entry.js';

/** Response to a caller that requests node addresses, best first. */
export interface EntriesAnswer {
  readonly entries: readonly Entry[];
  /** How long the caller may cache the response, in milliseconds. */
  readonly keepMs: number;
  /** Revision of the configuration that the response is based on. */
  readonly revision: number;
}
