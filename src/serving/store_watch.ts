import type {Clock} from '../runtime/types.js';
import type {Logger} from '../logging/types.js';
import type {PlatformStore, StoreEntry} from '../core/store/types.js';
import {listEntries} from './list_entries.js';
import {sleep} from './sleep.js';

/** The slowest response of a degraded store that is still worth waiting for. */
const STORE_TIMEOUT_MS = 1000;
const BACKOFF_START_MS = 200;
const BACKOFF_MAX_MS = 1000;
const BACKOFF_FACTOR = 1.6;

interface WatchOptions {
  readonly label: string;
  readonly prefix: string;
  /** How long the store may hold a watch call open while nothing changes. */
  readonly waitMs: number;
  /** False while peers supply the same entries; without this option the store is always watched. */
  readonly isNeeded?: () => boolean;
  /** Waits before `isNeeded` is checked again. */
  readonly idle: (ms: number) => Promise<void>;
  /** Pause after changes, so that several changes are read with one call. */
  readonly pauseMs: () => number;
  /** Receives all entries, with the store's revision at which they were listed. */
  readonly onList: (entries: readonly StoreEntry[], revision: number) => void;
  /** Receives the changes since the last revision; a removed key has the value ''. */
  readonly onChanges: (
    entries: readonly StoreEntry[],
    revision: number,
  ) => void;
  /** Called with the node time at which the entries last read were proven to be current. */
  readonly onProof?: (provenAtMs: number) => void;
}

/** Interval at which a watch that isn't needed checks whether it is needed again. */
const IDLE_CHECK_MS = 50;

/** Follows the entries under a prefix of the store: lists them once, then watches for changes. Retries with backoff. */
export class StoreWatch {
  private isClosed = false;
  /** Revision of the last entries read; undefined when they have to be listed first. */
  private revision?: number;
  private isReachable = true;
  private backoffMs = BACKOFF_START_MS;

  constructor(
    private readonly store: PlatformStore,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly options: WatchOptions,
  ) {}

  start(): void {
    void this.run();
  }

  close(): void {
    this.isClosed = true;
  }

  /** Lists the entries in parallel to the running watch, which may hang on a broken connection. Resolves to false on failure. */
  async refresh(): Promise<boolean> {
    return this.isClosed ? false : this.list();
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.options.isNeeded?.() === false) {
        this.revision = undefined;
        await this.options.idle(IDLE_CHECK_MS);
        continue;
      }
      const isOk =
        this.revision === undefined ? await this.list() : await this.watch();
      this.trackReachable(isOk);
      if (isOk) continue;
      await sleep(this.backoffMs * (0.5 + Math.random()));
      this.backoffMs = Math.min(
        BACKOFF_MAX_MS,
        this.backoffMs * BACKOFF_FACTOR,
      );
    }
  }

  private async list(): Promise<boolean> {
    const startedAtMs = this.clock.nowMs();
    const list = await listEntries(
      this.store,
      this.options.prefix,
      STORE_TIMEOUT_MS,
    );
    if (!list || this.isClosed) return false;
    this.revision = list.revision;
    this.options.onList(list.entries, list.revision);
    this.options.onProof?.(startedAtMs);
    return true;
  }

  private async watch(): Promise<boolean> {
    const {prefix, waitMs, pauseMs} = this.options;
    const startedAtMs = this.clock.nowMs();
    const outcome = await this.store.call(
      {
        kind: 'watch',
        prefix,
        sinceVersion: this.revision!,
        timeoutMs: waitMs,
      },
      waitMs + STORE_TIMEOUT_MS,
    );
    if (this.isClosed) return true;
    if (outcome.kind === 'conflict') {
      this.logger.write(
        'info',
        'store',
        'watched revision no longer in the store',
        {
          watch: this.options.label,
          revision: this.revision,
        },
      );
      this.revision = undefined;
      return true;
    }
    if (outcome.kind !== 'ok') return false;
    this.revision = outcome.version ?? this.revision;
    const entries = outcome.entries ?? [];
    if (entries.length > 0) {
      this.options.onChanges(entries, this.revision!);
      this.options.onProof?.(startedAtMs);
      const pause = pauseMs();
      if (pause > 0) await sleep(pause);
      return true;
    }
    // The store held the call open for `waitMs` and had no change by then.
    const openMs = this.clock.nowMs() - startedAtMs;
    this.options.onProof?.(startedAtMs + Math.min(waitMs, openMs));
    return true;
  }

  private trackReachable(isOk: boolean): void {
    if (isOk) this.backoffMs = BACKOFF_START_MS;
    if (isOk === this.isReachable) return;
    this.isReachable = isOk;
    this.logger.write(
      isOk ? 'info' : 'warn',
      'store',
      isOk ? 'watch regained' : 'watch lost',
      {watch: this.options.label, revision: this.revision},
    );
  }
}
