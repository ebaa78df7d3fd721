import type {ConfigPublication} from './config_publication.js';

interface HeadPart {
  readonly digest: string;
  /** Revision that last changed the part. */
  readonly revision: number;
}

/**
 * Content of `config/head` in the store: the accepted configuration, with a
 * digest for each text.
 */
export interface ConfigHead {
  readonly revision: number;
  readonly parts: Readonly<Record<string, HeadPart>>;
  /** Removed parts with the revision that removed them. */
  readonly removed: Readonly<Record<string, number>>;
  /** Removals up to this revision may have been dropped from `removed`. */
  readonly floorRevision: number;
  /** Latest publications, newest first; the first one made this head. */
  readonly publications: readonly ConfigPublication[];
}
