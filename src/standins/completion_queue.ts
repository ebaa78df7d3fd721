interface Job {
  readonly priority: number;
  readonly order: number;
  readonly start: () => void;
}

/** Runs jobs in an engine's slots and queues the others, highest priority first. */
export class CompletionQueue {
  private readonly queuedJobs: Job[] = [];
  private order = 0;
  running = 0;

  constructor(private readonly slots: () => number) {}

  get queued(): number {
    return this.queuedJobs.length;
  }

  /** Starts a job when a slot is free; the returned function ends it or removes it from the queue. */
  add(priority: number, start: () => void): () => void {
    let state: 'waiting' | 'running' | 'over' = 'waiting';
    const job: Job = {
      priority,
      order: this.order++,
      start: () => {
        state = 'running';
        this.running += 1;
        start();
      },
    };
    this.queuedJobs.push(job);
    this.startQueued();
    return () => {
      if (state === 'waiting')
        this.queuedJobs.splice(this.queuedJobs.indexOf(job), 1);
      if (state === 'running') this.running -= 1;
      state = 'over';
      this.startQueued();
    };
  }

  private startQueued(): void {
    while (this.running < this.slots() && this.queuedJobs.length > 0) {
      this.queuedJobs.sort(
        (a, b) => b.priority - a.priority || a.order - b.order,
      );
      this.queuedJobs.shift()!.start();
    }
  }
}
