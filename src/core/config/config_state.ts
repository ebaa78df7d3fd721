import type {ConfigCall} from './config_call.js';
import type {ConfigDocument} from './config_document.js';
import type {ConfigHead} from './config_head.js';
import type {ConfigPublication} from './config_publication.js';
import type {ConfigText} from './config_text.js';
import type {HeadJob} from './publish/head_job.js';
import type {NodeId, OperationId} from '../ids/index.js';

/** A head whose texts are being fetched from the store. */
interface HeadReading {
  readonly head: ConfigHead;
  /** By key. */
  readonly texts: Map<string, string>;
  readonly waiting: Set<OperationId>;
}

/** Changes asked of peers. */
interface Pull {
  /** Asked already, and without the history. */
  readonly withoutHistory: Set<NodeId>;
  readonly callId: OperationId;
}

/** The configuration in force at this node. */
export interface ConfigState {
  /** Only ever replaced by a document of a higher revision. */
  document: ConfigDocument;
  /** Set from the start, or from a pause, until the newest revision is known. */
  isCatchingUp: boolean;
  /** Texts in force, by key. */
  readonly texts: Map<string, ConfigText>;
  /** Removed keys with the revision that removed them, oldest first. */
  readonly removed: Map<string, number>;
  /** Removals up to this revision may be unknown here. */
  floorRevision: number;
  /** Newest first. */
  publications: readonly ConfigPublication[];
  /** Store version of the head as last seen. */
  headVersion: number;
  /** The head was read since the start or the last pause. */
  hasReadHead: boolean;
  reading?: HeadReading;
  pull?: Pull;
  readonly jobs: Map<string, HeadJob>;
  readonly calls: Map<OperationId, ConfigCall>;
  catchUpSinceMs: number;
  nextHeadAtMs: number;
  nextWatchAtMs: number;
  nextPullAtMs: number;
  /** When to write this node's configuration back to a store that lost it. */
  restoreAtMs?: number;
}
