import type {
  EngineList,
  ConfigCache,
  ServingContext,
  ServingComponent,
} from './types.js';
import type {StoreWatch} from './store_watch.js';
import {applyConfigText} from './apply_config_text.js';
import {resolvePeerAddress} from './resolve_peer_address.js';
import {fetchDocument} from './fetch_document.js';
import {isEngineChange} from '../core/fleet/index.js';
import {sleep} from './sleep.js';
import {
  isFleetStale,
  latestConfigVersion,
  selectUpstream,
} from '../core/serving/index.js';

/** Half the interval between digests, so that a new version is fetched soon after a digest has reported it. */
const CHECK_INTERVAL_MS = 50;
/** Minimum time between two store reads for the same version; longer than the slowest response of a degraded store that is worth waiting for. */
const STORE_READ_INTERVAL_MS = 1000;
/** A relay in the same zone responds within a few milliseconds, or a few hundred for a large document. */
const FETCH_TIMEOUT_MS = 900;
/** Maximum random delay of a fetch, because all nodes of a zone learn of a version at the same time. */
const FETCH_JITTER_MS = 60;
/** Pause between two fetches of the engine list; the digests received meanwhile show whether the last list was sufficient. */
const ENGINES_PAUSE_MS = 250;
/** After this many failed fetches from peers, the configuration is read from the store. */
const FAILURES_BEFORE_STORE = 2;

/**
 * Fetches the configuration and the engine list when peers report newer
 * versions than this node has: from a relay of its zone where there is one,
 * otherwise the configuration from the store.
 */
export class PeerSync implements ServingComponent {
  private storeReadAtMs = -Infinity;
  private storeReadVersion = 0;
  private isFetchingConfig = false;
  private isFetchingEngines = false;
  private configFailures = 0;
  private engineFailures = 0;
  private isClosed = false;

  constructor(
    private readonly context: ServingContext,
    private readonly configWatch: StoreWatch,
    private readonly configCache: ConfigCache,
  ) {}

  start(): void {
    this.context.sharedTimer.runEvery(CHECK_INTERVAL_MS, () =>
      this.checkPeers(),
    );
  }

  close(): Promise<void> {
    this.isClosed = true;
    return Promise.resolve();
  }

  private checkPeers(): void {
    const {state, clock} = this.context;
    const nowMs = clock.nowMs();
    const upstream = selectUpstream(state, nowMs);
    const version = state.config?.version ?? 0;
    const latest = latestConfigVersion(state);
    if (latest > version) this.updateConfig(upstream, version, latest, nowMs);
    if (upstream.length > 0 && isFleetStale(state, nowMs)) {
      void this.fetchEngines(upstream);
    }
  }

  private updateConfig(
    upstream: readonly string[],
    version: number,
    latest: number,
    nowMs: number,
  ): void {
    const isLeaf = this.context.state.exchange.relayRank < 0;
    if (isLeaf && upstream.length > 0) {
      if (this.configFailures < FAILURES_BEFORE_STORE) {
        void this.fetchConfig(upstream);
        return;
      }
    }
    if (
      this.storeReadVersion === latest &&
      nowMs - this.storeReadAtMs < STORE_READ_INTERVAL_MS
    )
      return;
    this.storeReadVersion = latest;
    this.storeReadAtMs = nowMs;
    this.configFailures = 0;
    this.context.logger.write(
      'info',
      'config',
      'configuration older than that of peers',
      {
        version,
        latest,
      },
    );
    void this.configWatch.refresh();
  }

  private async fetchConfig(upstream: readonly string[]): Promise<void> {
    if (this.isFetchingConfig) return;
    this.isFetchingConfig = true;
    const before = this.context.state.config?.version ?? 0;
    const document = await this.fetch(upstream, '/configuration');
    if (document) applyConfigText(this.context, this.configCache, document);
    const after = this.context.state.config?.version ?? 0;
    this.configFailures = after > before ? 0 : this.configFailures + 1;
    this.isFetchingConfig = false;
  }

  private async fetchEngines(upstream: readonly string[]): Promise<void> {
    if (this.isFetchingEngines) return;
    this.isFetchingEngines = true;
    const document = await this.fetch(upstream, '/engines');
    if (document) this.applyEngines(document.text, document.provenAtMs);
    else this.engineFailures += 1;
    await sleep(ENGINES_PAUSE_MS);
    this.isFetchingEngines = false;
  }

  /** Fetches from the first upstream node; each failure moves on to the next one. */
  private async fetch(upstream: readonly string[], path: string) {
    const {clock, logger, settings} = this.context;
    await sleep(FETCH_JITTER_MS * Math.random());
    const failures =
      path === '/engines' ? this.engineFailures : this.configFailures;
    const from = upstream[failures % upstream.length]!;
    const result = await fetchDocument(
      clock,
      resolvePeerAddress(from, settings.listen.documents),
      path,
      FETCH_TIMEOUT_MS,
    );
    if (this.isClosed) return undefined;
    if (result instanceof Error) {
      logger.write('info', 'peers', 'document not handed on', {
        path,
        from,
        error: result.message,
      });
      return undefined;
    }
    return result;
  }

  private applyEngines(text: string, provenAtMs: number): void {
    const {events, state, logger} = this.context;
    let list: EngineList;
    try {
      list = JSON.parse(text) as EngineList;
      if (!Array.isArray(list.changes)) throw new Error('no list of changes');
      if (!list.changes.every(isEngineChange)) {
        throw new Error('invalid change');
      }
      if (!Number.isSafeInteger(list.revision)) throw new Error('no revision');
    } catch (error) {
      this.engineFailures += 1;
      logger.write('warn', 'peers', 'invalid engine list from a peer', {
        error: String(error),
      });
      return;
    }
    this.engineFailures = 0;
    const before = state.engines.size;
    const {changes, revision} = list;
    events.dispatch({type: 'fleetListed', changes, revision, provenAtMs});
    logger.write('info', 'fleet', 'engine list fetched from a peer', {
      before,
      engines: state.engines.size,
      revision,
    });
  }
}
