interface ScheduledCallback {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in order of virtual time; equal times run in order of scheduling. */
export class VirtualTime {
  nowMs: number;
  private readonly heap: ScheduledCallback[] = [];
  private order = 0;

  constructor(startMs = 0) {
    this.nowMs = startMs;
  }

  /** Schedules `run` after a delay in milliseconds; a negative delay counts as 0. */
  after(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.push({atMs, order: this.order++, run});
  }

  /** Runs all callbacks due up to `untilMs`, which becomes the current time. */
  runUntil(untilMs: number): void {
    while (this.heap.length > 0 && this.heap[0]!.atMs <= untilMs) {
      const due = this.pop();
      this.nowMs = due.atMs;
      due.run();
    }
    this.nowMs = untilMs;
  }

  private push(due: ScheduledCallback): void {
    const {heap} = this;
    let at = heap.length;
    heap.push(due);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(due, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = due;
  }

  private pop(): ScheduledCallback {
    const {heap} = this;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return top;
  }
}

function isBefore(a: ScheduledCallback, b: ScheduledCallback): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
