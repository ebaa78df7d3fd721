/** A set whose members can be drawn at random in constant time. */
export class IndexedSet<T> {
  private readonly items: T[] = [];
  private readonly indexes = new Map<T, number>();

  get size(): number {
    return this.items.length;
  }

  has(item: T): boolean {
    return this.indexes.has(item);
  }

  at(index: number): T | undefined {
    return this.items[index];
  }

  add(item: T): void {
    if (this.indexes.has(item)) return;
    this.indexes.set(item, this.items.length);
    this.items.push(item);
  }

  /** Removes a member by moving the last one into its position. */
  delete(item: T): void {
    const index = this.indexes.get(item);
    if (index === undefined) return;
    this.indexes.delete(item);
    const last = this.items.pop()!;
    if (last === item) return;
    this.items[index] = last;
    this.indexes.set(last, index);
  }
}
