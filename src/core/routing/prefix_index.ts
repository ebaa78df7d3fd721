import type {EventOf} from '../events/types.js';
import type {TargetId} from '../ids/index.js';

/** Bounds the memory of the index; further prefixes are ignored. */
const MAX_PREFIXES = 65_536;

interface CachedPrefixes {
  readonly bootId: string;
  sequence: number;
  readonly hashes: Set<string>;
}

/** Index of the prompt prefixes cached by targets, from cache events that come late and with gaps. */
export class PrefixIndex {
  private readonly byTarget = new Map<TargetId, CachedPrefixes>();
  private readonly byHash = new Map<string, Set<TargetId>>();

  /** Targets that hold a prefix. */
  holders(hash: string): ReadonlySet<TargetId> | undefined {
    return this.byHash.get(hash);
  }

  /**
   * Applies a change. After a gap or a restart the target's index is dropped until
   * an event with its whole content arrives.
   */
  apply(targetId: TargetId, change: EventOf<'targetCacheChanged'>): void {
    const held = this.byTarget.get(targetId);
    if (held && held.bootId === change.bootId) {
      if (change.toSequence <= held.sequence) return;
    }
    if (change.whole || !held || !continues(held, change)) {
      this.dropTarget(targetId);
      if (!change.whole && change.fromSequence > 0) return;
      this.byTarget.set(targetId, {
        bootId: change.bootId,
        sequence: change.toSequence,
        hashes: new Set(),
      });
    }
    this.applyChange(targetId, change);
  }

  /** Removes all prefixes of a target. */
  dropTarget(targetId: TargetId): void {
    const held = this.byTarget.get(targetId);
    if (!held) return;
    this.byTarget.delete(targetId);
    for (const hash of held.hashes) this.remove(targetId, hash);
  }

  get size(): number {
    return this.byHash.size;
  }

  private applyChange(
    targetId: TargetId,
    change: EventOf<'targetCacheChanged'>,
  ): void {
    const held = this.byTarget.get(targetId)!;
    held.sequence = change.toSequence;
    for (const hash of change.evicted) {
      held.hashes.delete(hash);
      this.remove(targetId, hash);
    }
    for (const hash of change.stored) {
      if (this.byHash.size >= MAX_PREFIXES && !this.byHash.has(hash)) return;
      held.hashes.add(hash);
      const holders = this.byHash.get(hash) ?? new Set();
      this.byHash.set(hash, holders.add(targetId));
    }
  }

  private remove(targetId: TargetId, hash: string): void {
    const holders = this.byHash.get(hash);
    holders?.delete(targetId);
    if (holders?.size === 0) this.byHash.delete(hash);
  }
}

function continues(
  held: CachedPrefixes,
  change: EventOf<'targetCacheChanged'>,
): boolean {
  if (held.bootId !== change.bootId) return false;
  return change.fromSequence <= held.sequence;
}
