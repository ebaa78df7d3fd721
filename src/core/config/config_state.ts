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
  /** Texts fetched so far, by key. */
  readonly texts: Map<string, string>;
  /** Pending store calls for texts. */
  readonly waiting: Set<OperationId>;
}

/** A pending request to a peer for changes. */
interface Pull {
  /** Peers that answered that they lack the history. */
  readonly withoutHistory: Set<NodeId>;
  readonly callId: OperationId;
}

/** The configuration in force at this node. */
export interface ConfigState {
  /** Replaced only by a document of a higher revision. */
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
  /** Store version of the head at the last read or watch. */
  headVersion: number;
  /** Whether the head was read since the start or the last pause. */
  hasReadHead: boolean;
  reading?: HeadReading;
  pull?: Pull;
  readonly jobs: Map<string, HeadJob>;
  readonly calls: Map<OperationId, ConfigCall>;
  /** When catching up began; 0 when it did not. */
  catchUpSinceMs: number;
  nextHeadAtMs: number;
  nextWatchAtMs: number;
  nextPullAtMs: number;
  /** When to write this node's configuration back to a store that lost it or was restored. */
  restoreAtMs?: number;
}
