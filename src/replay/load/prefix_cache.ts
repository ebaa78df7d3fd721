interface CacheChange {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** An engine's cache of prompt prefixes: the least recently used leaves first. */
export class PrefixCache {
  private readonly held = new Set<string>();
  private stored: string[] = [];
  private evicted: string[] = [];

  constructor(private readonly capacity: number) {}

  /** Whether a prefix was held; it is afterwards. */
  use(prefix: string): boolean {
    const wasHeld = this.held.delete(prefix);
    this.held.add(prefix);
    if (wasHeld) return true;
    this.stored.push(prefix);
    if (this.held.size <= this.capacity) return false;
    const [oldest] = this.held;
    this.held.delete(oldest!);
    this.evicted.push(oldest!);
    return false;
  }

  /** Changes since the last call. */
  takeChanges(): CacheChange {
    const change = {stored: this.stored, evicted: this.evicted};
    this.stored = [];
    this.evicted = [];
    return change;
  }
}
