const MAX_EVENTS = 512;

interface CacheEvent {
  readonly sequence: number;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** An engine's prefix cache with LRU eviction, and a log of its latest changes. */
export class PrefixCache {
  private readonly hashes = new Map<string, true>();
  private events: CacheEvent[] = [];
  private sequence = 0;

  constructor(private readonly maxBlocks: number) {}

  /** Counts the leading blocks of a prompt that are cached. */
  countCached(hashes: readonly string[]): number {
    let count = 0;
    while (count < hashes.length && this.hashes.has(hashes[count]!)) count++;
    return count;
  }

  /** Stores a prompt's blocks and evicts the least recently used ones. */
  store(hashes: readonly string[]): void {
    const stored = hashes.filter(hash => !this.hashes.has(hash));
    for (const hash of hashes) {
      this.hashes.delete(hash);
      this.hashes.set(hash, true);
    }
    const excess = Math.max(0, this.hashes.size - this.maxBlocks);
    const evicted = [...this.hashes.keys()].slice(0, excess);
    for (const hash of evicted) this.hashes.delete(hash);
    if (stored.length === 0) return;
    this.sequence += 1;
    this.events.push({sequence: this.sequence, stored, evicted});
    if (this.events.length > MAX_EVENTS)
      this.events = this.events.slice(-MAX_EVENTS / 2);
  }

  /** Returns the changes after a sequence number, or the complete content when they are no longer in the log. */
  changesSince(since: number) {
    const oldest = this.events[0]?.sequence ?? this.sequence + 1;
    const toSequence = this.sequence;
    if (since < oldest - 1 || since > toSequence) {
      const stored = [...this.hashes.keys()];
      return {fromSequence: 0, toSequence, whole: true, stored, evicted: []};
    }
    const events = this.events.filter(event => event.sequence > since);
    return {
      fromSequence: since,
      toSequence,
      whole: false,
      stored: events.flatMap(event => event.stored),
      evicted: events.flatMap(event => event.evicted),
    };
  }
}
