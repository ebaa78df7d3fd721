import type {
  PlatformStore,
  StoreOperation,
  StoreOutcome,
} from '../core/store/types.js';
import type {Clock} from '../runtime/types.js';
import type {Logger} from '../logging/types.js';
import type {NodeMetrics} from '../metrics/types.js';

/** Interval of the log lines with the counts of store calls. */
const REPORT_INTERVAL_MS = 10_000;

/** Consecutive calls without a response after which the store counts as lost; a single one may be a lost packet. */
const FAILURES_BEFORE_LOST = 2;

/** Wraps the platform's store: counts its calls, because the platform charges for each, and logs when the store is lost and regained. */
export class CountedStore implements PlatformStore {
  private readonly counts = new Map<string, number>();
  private era?: number;
  private consecutiveFailures = 0;
  private lostAtMs?: number;
  private readonly timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);

  constructor(
    private readonly store: PlatformStore,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
    private readonly logger: Logger,
    private readonly on: {
      /** Called after an outage of `lostMs`, on the first response. */
      readonly regained: (lostMs: number) => void;
      /** Called when a response carries another era than the previous one. */
      readonly era: (era: number) => void;
    },
  ) {}

  async call(
    operation: StoreOperation,
    timeoutMs: number,
  ): Promise<StoreOutcome> {
    const outcome = await this.store.call(operation, timeoutMs);
    const {kind} = operation;
    // Reported before the caller uses the outcome, which may depend on data that
    // a store restored from a backup does not have.
    if (outcome.era !== undefined && outcome.era !== this.era) {
      this.era = outcome.era;
      this.on.era(outcome.era);
    }
    this.metrics.count('storeCalls', 1, {kind, outcome: outcome.kind});
    const label = labelOf(operation);
    this.counts.set(label, (this.counts.get(label) ?? 0) + 1);
    this.trackOutcome(label, outcome);
    return outcome;
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    this.report();
    return this.store.close();
  }

  private trackOutcome(label: string, {kind}: StoreOutcome): void {
    const nowMs = this.clock.nowMs();
    if (kind === 'unavailable' || kind === 'unknown') {
      this.consecutiveFailures += 1;
      if (this.consecutiveFailures < FAILURES_BEFORE_LOST) return;
      if (this.lostAtMs !== undefined) return;
      this.lostAtMs = nowMs;
      this.logger.write('warn', 'store', 'store lost', {call: label, kind});
      return;
    }
    if (this.lostAtMs !== undefined) {
      const lostMs = Math.round(nowMs - this.lostAtMs);
      this.logger.write('info', 'store', 'store regained', {
        call: label,
        lostMs,
        failures: this.consecutiveFailures,
      });
      this.on.regained(lostMs);
    }
    this.consecutiveFailures = 0;
    this.lostAtMs = undefined;
  }

  private report(): void {
    if (this.counts.size === 0) return;
    const calls = Object.fromEntries(this.counts);
    this.counts.clear();
    this.logger.write('info', 'store', 'store calls', {calls});
  }
}

/** Label of a call in the log: its kind and its prefix or key, without the last segment of the key, which names a node or an engine. */
function labelOf(operation: StoreOperation): string {
  const {kind} = operation;
  if ('prefix' in operation) return `${kind} ${operation.prefix}`;
  if (!('key' in operation)) return kind;
  const end = operation.key.lastIndexOf('/') + 1;
  return `${kind} ${operation.key.slice(0, end)}`;
}
