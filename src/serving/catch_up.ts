import type {
  EngineList,
  HeldConfig,
  ServingContext,
  ServingPart,
} from './types.js';
import type {StoreWatch} from './store_watch.js';
import {applyConfigText} from './apply_config_text.js';
import {documentAddress} from './document_address.js';
import {fetchDocument} from './fetch_document.js';
import {sleep} from './sleep.js';
import {
  isFleetBehind,
  latestConfigVersion,
  selectUpstream,
} from '../core/serving/index.js';

/** Half the pause between digests: a new version is read about as soon as it is heard of. */
const LOOK_MS = 50;
/** Longer than an answer of the store takes in trouble that is worth waiting for. */
const AGAIN_MS = 1000;
/** A relay of the zone answers in a few milliseconds, with a large document in some hundred. */
const DOCUMENT_MS = 900;
/** Spread of the questions of the nodes of a zone, which all hear of a version at once. */
const SPREAD_MS = 60;
/** Pause between two whole lists: the next digests say whether the last one was enough. */
const REST_MS = 250;
/** After this many failures the store is asked. */
const FAILURES_TO_STORE = 2;

/** Gets what peers know and this node lacks: from a relay, where there is one, or from the store. */
export class CatchUp implements ServingPart {
  private askedAtMs = -Infinity;
  private askedFor = 0;
  private isFetchingConfig = false;
  private isFetchingEngines = false;
  private configFailures = 0;
  private engineFailures = 0;
  private isClosed = false;

  constructor(
    private readonly context: ServingContext,
    private readonly configWatch: StoreWatch,
    private readonly held: HeldConfig,
  ) {}

  start(): void {
    this.context.pulse.every(LOOK_MS, () => this.look());
  }

  close(): Promise<void> {
    this.isClosed = true;
    return Promise.resolve();
  }

  private look(): void {
    const {state, clock} = this.context;
    const nowMs = clock.nowMs();
    const upstream = selectUpstream(state, nowMs);
    const version = state.config?.version ?? 0;
    const latest = latestConfigVersion(state);
    if (latest > version) this.catchUpConfig(upstream, version, latest, nowMs);
    if (upstream.length > 0 && isFleetBehind(state, nowMs)) {
      void this.fetchEngines(upstream);
    }
  }

  private catchUpConfig(
    upstream: readonly string[],
    version: number,
    latest: number,
    nowMs: number,
  ): void {
    const isLeaf = this.context.state.exchange.relayRank < 0;
    if (isLeaf && upstream.length > 0) {
      if (this.configFailures < FAILURES_TO_STORE) {
        void this.fetchConfig(upstream);
        return;
      }
    }
    if (this.askedFor === latest && nowMs - this.askedAtMs < AGAIN_MS) return;
    this.askedFor = latest;
    this.askedAtMs = nowMs;
    this.configFailures = 0;
    this.context.logger.write('info', 'config', 'behind peers', {
      version,
      latest,
    });
    void this.configWatch.refresh();
  }

  private async fetchConfig(upstream: readonly string[]): Promise<void> {
    if (this.isFetchingConfig) return;
    this.isFetchingConfig = true;
    const before = this.context.state.config?.version ?? 0;
    const found = await this.fetch(upstream, '/configuration');
    if (found) applyConfigText(this.context, this.held, found);
    const after = this.context.state.config?.version ?? 0;
    this.configFailures = after > before ? 0 : this.configFailures + 1;
    this.isFetchingConfig = false;
  }

  private async fetchEngines(upstream: readonly string[]): Promise<void> {
    if (this.isFetchingEngines) return;
    this.isFetchingEngines = true;
    const found = await this.fetch(upstream, '/engines');
    if (found) this.applyEngines(found.text, found.provenAtMs);
    else this.engineFailures += 1;
    await sleep(REST_MS);
    this.isFetchingEngines = false;
  }

  /** Asks the first node, or the next when the last question failed. */
  private async fetch(upstream: readonly string[], path: string) {
    const {clock, logger, settings} = this.context;
    await sleep(SPREAD_MS * Math.random());
    const failures =
      path === '/engines' ? this.engineFailures : this.configFailures;
    const from = upstream[failures % upstream.length]!;
    const result = await fetchDocument(
      clock,
      documentAddress(from, settings.listen.documents),
      path,
      DOCUMENT_MS,
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
    } catch (error) {
      this.engineFailures += 1;
      logger.write('warn', 'peers', 'engines not understood', {
        error: String(error),
      });
      return;
    }
    this.engineFailures = 0;
    const before = state.engines.size;
    const {changes, revision} = list;
    events.dispatch({type: 'fleetListed', changes, revision, provenAtMs});
    logger.write('info', 'fleet', 'engines handed on', {
      before,
      engines: state.engines.size,
      revision,
    });
  }
}
