import type {ConfigPublication} from '../config/types.js';

/** Answer to `configHistory`: accepted publications, newest first. */
export interface ConfigHistoryAnswer {
  readonly publications: readonly ConfigPublication[];
}
