import type {Entry} from './entry.js';

/** Answer to a caller that asks which addresses to use, best first. */
export interface EntriesAnswer {
  readonly entries: readonly Entry[];
  /** How long the caller may keep it. */
  readonly keepMs: number;
  readonly revision: number;
}
