import type {Clock} from '../runtime/types.js';

/** Resolution of what waits for time; a pass of a target takes as long. */
const BEAT_MS = 50;
/** The same where nothing is under way: each time that a process wakes up costs processor time. */
const IDLE_BEAT_MS = 150;

interface Task {
  readonly everyMs?: number;
  dueAtMs: number;
  readonly run: () => void;
}

/** One timer for all that a node does again and again, so that it wakes up once for all of them. */
export class Pulse {
  private readonly tasks = new Set<Task>();
  private timer?: NodeJS.Timeout;
  private isClosed = false;

  constructor(
    private readonly clock: Clock,
    private readonly isIdle: () => boolean,
  ) {}

  start(): void {
    this.schedule(BEAT_MS);
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    for (const task of this.tasks) if (task.everyMs === undefined) task.run();
    this.tasks.clear();
  }

  /** Runs again and again; less often while the node is idle. */
  every(everyMs: number, run: () => void): void {
    this.tasks.add({everyMs, dueAtMs: this.clock.nowMs() + everyMs, run});
  }

  /** Settles after the time, or at the next beat of an idle node. */
  wait(ms: number): Promise<void> {
    if (this.isClosed) return Promise.resolve();
    return new Promise(resolve => {
      this.tasks.add({dueAtMs: this.clock.nowMs() + ms, run: resolve});
    });
  }

  /** Work has come: an idle node goes on with full resolution. */
  wake(): void {
    if (this.isClosed || !this.isSlow) return;
    clearTimeout(this.timer);
    this.schedule(BEAT_MS);
  }

  private isSlow = false;

  private schedule(ms: number): void {
    this.isSlow = ms > BEAT_MS;
    this.timer = setTimeout(() => this.beat(), ms);
  }

  private beat(): void {
    const nowMs = this.clock.nowMs();
    for (const task of [...this.tasks]) {
      // Timers fire late; what is due within half a beat runs now.
      if (task.dueAtMs > nowMs + BEAT_MS / 2) continue;
      if (task.everyMs === undefined) this.tasks.delete(task);
      else task.dueAtMs = nowMs + task.everyMs;
      task.run();
    }
    if (!this.isClosed) this.schedule(this.isIdle() ? IDLE_BEAT_MS : BEAT_MS);
  }
}
