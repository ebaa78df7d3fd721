interface CacheChange {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** LRU cache of an engine's prompt prefixes. */
export class PrefixCache {
  private readonly prefixes = new Set<string>();
  private stored: string[] = [];
  private evicted: string[] = [];

  constructor(private readonly capacity: number) {}

  /** Adds a prefix or marks it as recently used; returns whether it was cached before. */
  use(prefix: string): boolean {
    const wasCached = this.prefixes.delete(prefix);
    this.prefixes.add(prefix);
    if (wasCached) return true;
    this.stored.push(prefix);
    if (this.prefixes.size <= this.capacity) return false;
    const [oldest] = this.prefixes;
    this.prefixes.delete(oldest!);
    this.evicted.push(oldest!);
    return false;
  }

  /** Returns and clears the changes since the last call. */
  takeChanges(): CacheChange {
    const change = {stored: this.stored, evicted: this.evicted};
    this.stored = [];
    this.evicted = [];
    return change;
  }
}
