import type {
  PlatformStore,
  StoreOperation,
  StoreOutcome,
} from '../core/store/types.js';
import type {Clock} from '../runtime/types.js';
import type {Logger} from '../logging/types.js';
import type {NodeMetrics} from '../metrics/types.js';

/** Pause between two lines of the log that say what was asked of the store. */
const REPORT_MS = 10_000;

/** Calls without answer, one after the other, that tell of more than a lost packet. */
const FAILURES_TO_LOSE = 2;

/** The platform's store, with its calls counted, since the platform charges for each, and with a line when it is lost or regained. */
export class CountedStore implements PlatformStore {
  private readonly counts = new Map<string, number>();
  private era?: number;
  private failuresInRow = 0;
  private lostAtMs?: number;
  private readonly timer = setInterval(() => this.report(), REPORT_MS);

  constructor(
    private readonly store: PlatformStore,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
    private readonly logger: Logger,
    private readonly on: {
      readonly regained: (lostMs: number) => void;
      /** An answer had another era than the one before. */
      readonly era: (era: number) => void;
    },
  ) {}

  async call(
    operation: StoreOperation,
    timeoutMs: number,
  ): Promise<StoreOutcome> {
    const outcome = await this.store.call(operation, timeoutMs);
    const {kind} = operation;
    // Before the outcome is used: it may rest on what a copy lacks.
    if (outcome.era !== undefined && outcome.era !== this.era) {
      this.era = outcome.era;
      this.on.era(outcome.era);
    }
    this.metrics.count('storeCalls', 1, {kind, outcome: outcome.kind});
    const subject = subjectOf(operation);
    this.counts.set(subject, (this.counts.get(subject) ?? 0) + 1);
    this.noteOutcome(subject, outcome);
    return outcome;
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    this.report();
    return this.store.close();
  }

  private noteOutcome(subject: string, {kind}: StoreOutcome): void {
    const nowMs = this.clock.nowMs();
    if (kind === 'unavailable' || kind === 'unknown') {
      this.failuresInRow += 1;
      if (this.failuresInRow < FAILURES_TO_LOSE) return;
      if (this.lostAtMs !== undefined) return;
      this.lostAtMs = nowMs;
      this.logger.write('warn', 'store', 'store lost', {call: subject, kind});
      return;
    }
    if (this.lostAtMs !== undefined) {
      const lostMs = Math.round(nowMs - this.lostAtMs);
      this.logger.write('info', 'store', 'store regained', {
        call: subject,
        lostMs,
        failures: this.failuresInRow,
      });
      this.on.regained(lostMs);
    }
    this.failuresInRow = 0;
    this.lostAtMs = undefined;
  }

  private report(): void {
    if (this.counts.size === 0) return;
    const calls = Object.fromEntries(this.counts);
    this.counts.clear();
    this.logger.write('info', 'store', 'store calls', {calls});
  }
}

/** The call and what it is about, without the part of the key that names a node or an engine. */
function subjectOf(operation: StoreOperation): string {
  const {kind} = operation;
  if ('prefix' in operation) return `${kind} ${operation.prefix}`;
  if (!('key' in operation)) return kind;
  const end = operation.key.lastIndexOf('/') + 1;
  return `${kind} ${operation.key.slice(0, end)}`;
}
