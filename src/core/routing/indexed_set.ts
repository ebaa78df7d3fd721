/** A set from which a random member can be taken in constant time. */
export class IndexedSet<T> {
  private readonly items: T[] = [];
  private readonly places = new Map<T, number>();

  get size(): number {
    return this.items.length;
  }

  has(item: T): boolean {
    return this.places.has(item);
  }

  at(index: number): T | undefined {
    return this.items[index];
  }

  add(item: T): void {
    if (this.places.has(item)) return;
    this.places.set(item, this.items.length);
    this.items.push(item);
  }

  /** Moves the last member into the place of the removed one. */
  delete(item: T): void {
    const place = this.places.get(item);
    if (place === undefined) return;
    this.places.delete(item);
    const last = this.items.pop()!;
    if (last === item) return;
    this.items[place] = last;
    this.places.set(last, place);
  }
}
