import type {TargetId} from '../ids/index.js';
import {IndexedSet} from './indexed_set.js';

/** Targets of one service that this node uses: all of them, or a bounded share of many. */
export class ServicePool {
  readonly members: ReadonlySet<TargetId>;
  /** Members that had a free slot when last looked at. */
  readonly free = new IndexedSet<TargetId>();
  /** Time of a token over all members, averaged. */
  msPerToken?: number;
  /** Ends of the ejections of members. */
  readonly ejectedUntilMs = new Map<TargetId, number>();
  /** A member turned out to be gone. */
  isOutdated = false;

  constructor(
    members: Iterable<TargetId>,
    /** Targets of the service when the pool was made. */
    readonly serviceSize: number,
    readonly madeAtMs: number,
  ) {
    this.members = new Set(members);
  }
}
