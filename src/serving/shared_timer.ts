import type {Clock} from '../runtime/types.js';
import {CatchUp} from './catch_up.js';

/** Resolution of timed work; one batch pass of a target takes about as long. */
const INTERVAL_MS = 50;
/** Resolution while the node is idle, since each wake-up of the process costs processor time. */
const IDLE_INTERVAL_MS = 150;

interface Task {
  /** Undefined for a task that runs once. */
  readonly everyMs?: number;
  dueAtMs: number;
  readonly run: () => void;
}

/** A single timer for all periodic and delayed work of a node, so that the process wakes up once for all of it. */
export class SharedTimer {
  private readonly tasks = new Set<Task>();
  private timer?: NodeJS.Timeout;
  private isClosed = false;

  constructor(
    private readonly clock: Clock,
    private readonly isIdle: () => boolean,
    /** Called when a task throws; the other tasks and the timer go on. */
    private readonly onError: (error: unknown) => void,
    private readonly catchUp = new CatchUp(clock),
  ) {}

  start(): void {
    this.schedule(INTERVAL_MS);
  }

  /** Stops the timer. Waits that are pending settle at once; periodic tasks do not run again. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    for (const task of this.tasks) if (task.everyMs === undefined) task.run();
    this.tasks.clear();
  }

  /** Runs a task periodically; less often while the node is idle. */
  runEvery(everyMs: number, run: () => void): void {
    this.tasks.add({everyMs, dueAtMs: this.clock.nowMs() + everyMs, run});
  }

  /** Settles after the given time, rounded to the current resolution; at once after `close`. */
  wait(ms: number): Promise<void> {
    if (this.isClosed) return Promise.resolve();
    return new Promise(resolve => {
      this.tasks.add({dueAtMs: this.clock.nowMs() + ms, run: resolve});
    });
  }

  /** Switches an idle node back to full resolution; to be called when work arrives. */
  wake(): void {
    if (this.isClosed || !this.isSlow) return;
    this.catchUp.check(this.clock.nowMs());
    clearTimeout(this.timer);
    this.schedule(INTERVAL_MS);
  }

  /** The timer runs at the idle resolution. */
  private isSlow = false;

  private schedule(ms: number): void {
    this.isSlow = ms > INTERVAL_MS;
    this.catchUp.expectTurn(this.clock.nowMs() + ms);
    this.timer = setTimeout(() => {
      this.isSlow = false;
      this.catchUp.run(() => this.runDueTasks());
    }, ms);
  }

  private runDueTasks(): void {
    if (this.isClosed) return;
    const nowMs = this.clock.nowMs();
    for (const task of [...this.tasks]) {
      // Timers fire late, so tasks that are due within half an interval run now.
      if (task.dueAtMs > nowMs + INTERVAL_MS / 2) continue;
      if (task.everyMs === undefined) this.tasks.delete(task);
      else task.dueAtMs = nowMs + task.everyMs;
      try {
        task.run();
      } catch (error) {
        this.onError(error);
      }
    }
    if (!this.isClosed)
      this.schedule(this.isIdle() ? IDLE_INTERVAL_MS : INTERVAL_MS);
  }
}
