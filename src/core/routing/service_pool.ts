import type {GroupKey} from '../credits/types.js';
import type {ServiceName, TargetId} from '../ids/index.js';
import {groupOf} from '../credits/index.js';
import {IndexedSet} from './indexed_set.js';

/** Targets of one service that this node uses: all of them, or a bounded share of many. */
export class ServicePool {
  readonly members: ReadonlySet<TargetId>;
  /** Members by credit group. */
  readonly groups = new Map<GroupKey, TargetId[]>();
  /** Members that had a free slot when last looked at. */
  readonly free = new IndexedSet<TargetId>();
  /** Time of a token over all members, averaged. */
  msPerToken?: number;
  /** Ends of the ejections of members. */
  readonly ejectedUntilMs = new Map<TargetId, number>();
  /** Members that are ejected, or start slowly after it. */
  readonly returning = new Set<TargetId>();
  /** A member turned out to be gone. */
  isOutdated = false;
  /** When the members were last looked over. */
  checkedAtMs: number;

  constructor(
    service: ServiceName,
    members: Iterable<TargetId>,
    /** Targets of the service when the pool was made. */
    readonly serviceSize: number,
    readonly madeAtMs: number,
  ) {
    this.members = new Set(members);
    this.checkedAtMs = madeAtMs;
    for (const targetId of this.members) {
      const key = groupOf(service, targetId, serviceSize);
      const others = this.groups.get(key);
      if (others) others.push(targetId);
      else this.groups.set(key, [targetId]);
    }
  }
}
