import type {ConfigChange, ConfigPublication} from '../config/types.js';

/** Asks for the changes since a revision; 0 asks for everything. */
interface Pull {
  readonly type: 'config.pull';
  readonly sinceRevision: number;
}

/** Changes from one revision to another. */
interface Delta {
  readonly type: 'config.delta';
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Removals up to this revision may be unknown to the sender. */
  readonly floorRevision: number;
  readonly changes: readonly ConfigChange[];
  readonly publications: readonly ConfigPublication[];
}

/** The peer no longer holds the changes asked for. */
interface NoHistory {
  readonly type: 'config.noHistory';
  readonly revision: number;
}

/** Messages of the config area. */
export type ConfigMessage = Pull | Delta | NoHistory;
