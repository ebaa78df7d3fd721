import type {GroupKey} from '../credits/types.js';
import type {ServiceName, TargetId} from '../ids/index.js';
import {groupOf} from '../credits/index.js';
import {IndexedSet} from './indexed_set.js';

/** Targets of one service that this node uses: all of them, or a bounded subset of many. */
export class ServicePool {
  readonly members: ReadonlySet<TargetId>;
  /** Members by credit group. */
  readonly groups = new Map<GroupKey, TargetId[]>();
  /** Members that had a free slot when last refreshed. */
  readonly free = new IndexedSet<TargetId>();
  /** Moving average of the time per token over all members; undefined until measured. */
  msPerToken?: number;
  /** End of the ejection of each member that was ejected. */
  readonly ejectedUntilMs = new Map<TargetId, number>();
  /** Members that are ejected, or in slow start afterwards. */
  readonly returning = new Set<TargetId>();
  /** A member no longer exists; the pool is due for a rebuild. */
  isOutdated = false;
  /** When the members were last checked to exist. */
  checkedAtMs: number;

  constructor(
    service: ServiceName,
    members: Iterable<TargetId>,
    /** Number of the service's targets when the pool was built. */
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
