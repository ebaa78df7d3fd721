import type {EventOf} from '../events/types.js';
import type {TargetId} from '../ids/index.js';

const MAX_PREFIXES = 65_536;

interface HeldPrefixes {
  readonly bootId: string;
  sequence: number;
  readonly hashes: Set<string>;
}

/** Which targets hold which prompt prefixes, from cache events that come late and with gaps. */
export class PrefixIndex {
  private readonly byTarget = new Map<TargetId, HeldPrefixes>();
  private readonly byHash = new Map<string, Set<TargetId>>();

  /** Targets that hold a prefix. */
  holders(hash: string): ReadonlySet<TargetId> | undefined {
    return this.byHash.get(hash);
  }

  /** Applies a change; after a gap or a restart the target's index is dropped till it is told whole. */
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
    this.change(targetId, change);
  }

  /** Forgets what a target holds. */
  dropTarget(targetId: TargetId): void {
    const held = this.byTarget.get(targetId);
    if (!held) return;
    this.byTarget.delete(targetId);
    for (const hash of held.hashes) this.remove(targetId, hash);
  }

  get size(): number {
    return this.byHash.size;
  }

  private change(
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
  held: HeldPrefixes,
  change: EventOf<'targetCacheChanged'>,
): boolean {
  if (held.bootId !== change.bootId) return false;
  return change.fromSequence <= held.sequence;
}
