import type {ConfigChange, ConfigPublication} from '../config/types.js';

/** Requests the changes since a revision; 0 requests the full configuration. */
interface Pull {
  readonly type: 'config.pull';
  readonly sinceRevision: number;
}

/** Changes from one revision to another. */
interface Delta {
  readonly type: 'config.delta';
  readonly fromRevision: number;
  readonly toRevision: number;
  /** The sender may lack removals up to this revision. */
  readonly floorRevision: number;
  readonly changes: readonly ConfigChange[];
  readonly publications: readonly ConfigPublication[];
}

/** The peer no longer has the requested changes. */
interface NoHistory {
  readonly type: 'config.noHistory';
  readonly revision: number;
}

/** Messages that replicate the configuration. */
export type ConfigMessage = Pull | Delta | NoHistory;
