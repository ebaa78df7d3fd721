import type {Logger} from '../../logging/types.js';
import type {NodeMetrics} from '../../metrics/types.js';
import type {LimitReason, ListenerName} from './types.js';

interface Entry {
  readonly listener: ListenerName;
  readonly reason: LimitReason;
  count: number;
}

/** Counts the clients that exceeded a limit, and logs them once for all since the last flush. */
export class LimitLog {
  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly metrics: NodeMetrics,
    private readonly logger: Logger,
  ) {}

  add(listener: ListenerName, reason: LimitReason): void {
    this.metrics.count('clientLimits', 1, {listener, reason});
    const key = `${listener}/${reason}`;
    const entry = this.entries.get(key) ?? {listener, reason, count: 0};
    entry.count += 1;
    this.entries.set(key, entry);
  }

  /** Writes one line for each listener and reason that came up. */
  flush(): void {
    for (const {listener, reason, count} of this.entries.values()) {
      this.logger.write('warn', 'clients', 'client limit exceeded', {
        listener,
        reason,
        count,
      });
    }
    this.entries.clear();
  }
}
