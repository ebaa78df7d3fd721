import type {Clock} from '../runtime/types.js';
import type {Logger} from '../logging/types.js';
import type {PlatformStore, StoreEntry} from '../core/store/types.js';
import {listEntries} from './list_entries.js';
import {sleep} from './sleep.js';

/** Answer time of a store in trouble that is still worth waiting for. */
const ANSWER_MS = 1000;
const BACKOFF_START_MS = 200;
const BACKOFF_MAX_MS = 1000;
const BACKOFF_FACTOR = 1.6;

interface WatchOptions {
  readonly label: string;
  readonly prefix: string;
  /** How long the store may hold a call that has nothing to tell. */
  readonly waitMs: number;
  /** False while peers tell what the store would; by default the store is always asked. */
  readonly isNeeded?: () => boolean;
  /** A pause of a watch that isn't needed. */
  readonly idle: (ms: number) => Promise<void>;
  /** Pause after changes, which gathers several into one call. */
  readonly pauseMs: () => number;
  /** All entries, at a revision of the store. */
  readonly onList: (entries: readonly StoreEntry[], revision: number) => void;
  /** Changes since; a removed key has the value ''. */
  readonly onChanges: (
    entries: readonly StoreEntry[],
    revision: number,
  ) => void;
  /** What is known was current at that time. */
  readonly onProof?: (provenAtMs: number) => void;
}

/** How often a watch that isn't needed looks whether it is. */
const IDLE_MS = 50;

/** Follows the entries under a prefix of the store: a list first, then changes. */
export class StoreWatch {
  private isClosed = false;
  /** Undefined: the entries have to be listed first. */
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

  /** Lists the entries beside the watch that is running, which may hang on a silent connection. */
  async refresh(): Promise<boolean> {
    return this.isClosed ? false : this.list();
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.options.isNeeded?.() === false) {
        this.revision = undefined;
        await this.options.idle(IDLE_MS);
        continue;
      }
      const isOk =
        this.revision === undefined ? await this.list() : await this.watch();
      this.noteReachable(isOk);
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
    const list = await listEntries(this.store, this.options.prefix, ANSWER_MS);
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
      waitMs + ANSWER_MS,
    );
    if (this.isClosed) return true;
    if (outcome.kind === 'conflict') {
      this.logger.write('info', 'store', 'history is gone', {
        watch: this.options.label,
        revision: this.revision,
      });
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
    // The store held the call for `waitMs` and had nothing to tell then.
    const heldMs = this.clock.nowMs() - startedAtMs;
    this.options.onProof?.(startedAtMs + Math.min(waitMs, heldMs));
    return true;
  }

  private noteReachable(isOk: boolean): void {
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
