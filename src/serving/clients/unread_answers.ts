import type {Clock} from '../../runtime/types.js';
import type {LimitLog} from './limit_log.js';
import type {ListenerLimits, ListenerName} from './types.js';

/** An answer, or a part of one, that its client has not read. */
class UnreadAnswer {
  sizeBytes = 0;
  progressAtMs = 0;

  constructor(
    private readonly answers: UnreadAnswers,
    readonly listener: ListenerName,
    /** Closes the connection. */
    readonly abort: () => void,
  ) {}

  /** Sets how much is unread; a change shows that the client reads. */
  update(sizeBytes: number): void {
    this.answers.update(this, sizeBytes);
  }

  close(): void {
    this.answers.update(this, 0);
  }
}

/** Bounds the memory of all answers that are written and not read: connections that don't read are closed, the longest stalled first. */
export class UnreadAnswers {
  private usedBytes = 0;
  /** The one with the oldest progress first. */
  private readonly answers = new Set<UnreadAnswer>();

  constructor(
    private readonly limits: ListenerLimits,
    private readonly clock: Clock,
    private readonly log: LimitLog,
  ) {}

  open(listener: ListenerName, abort: () => void): UnreadAnswer {
    return new UnreadAnswer(this, listener, abort);
  }

  update(answer: UnreadAnswer, sizeBytes: number): void {
    if (sizeBytes === answer.sizeBytes) return;
    this.usedBytes += sizeBytes - answer.sizeBytes;
    answer.sizeBytes = sizeBytes;
    answer.progressAtMs = this.clock.nowMs();
    this.answers.delete(answer);
    if (sizeBytes === 0) return;
    this.answers.add(answer);
    this.shrink();
  }

  /** Closes stalled connections while there is too much; at half as much again, also others. */
  private shrink(): void {
    const {unreadBytes, pressureStallMs} = this.limits;
    const nowMs = this.clock.nowMs();
    while (this.usedBytes > unreadBytes) {
      const [oldest] = this.answers;
      if (!oldest) return;
      const hasStalled = nowMs - oldest.progressAtMs >= pressureStallMs;
      if (!hasStalled && this.usedBytes <= unreadBytes * 1.5) return;
      this.log.add(oldest.listener, 'unread-memory');
      oldest.close();
      oldest.abort();
    }
  }
}
