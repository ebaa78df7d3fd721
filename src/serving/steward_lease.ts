import {randomBytes} from 'node:crypto';
import type {LeaseId, NodeId} from '../core/ids/index.js';
import type {ServingContext, ServingComponent} from './types.js';
import {
  findSteward,
  mustYieldStewardship,
  stewardRank,
} from '../core/serving/index.js';
import {storeVersion} from '../core/store/index.js';
import {sleep} from './sleep.js';

const KEY = 'rhubarbstile/steward';
/** Long enough for three renewals, short enough that a lost steward is replaced quickly. */
const LEASE_TTL_MS = 1000;
const RENEW_INTERVAL_MS = 300;
const STORE_TIMEOUT_MS = 500;
/** Longest time for which the store may hold a contender's watch call open. */
const WATCH_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 300;
/** Interval at which a contender checks whether the steward's digests still arrive; equal to the interval between digests. */
const STEWARD_CHECK_MS = 100;
/** Longest wait for the first list of the other nodes. */
const PEER_LIST_TIMEOUT_MS = 1000;
/** Delay per rank: contenders try one after another, in the order of their rank. */
const RANK_DELAY_MS = 120;

/** Contends for the steward lease, renews it while held, and reports to the core when it is gained or lost. */
export class StewardLease implements ServingComponent {
  private isClosed = false;
  private heldLeaseId?: LeaseId;

  constructor(private readonly context: ServingContext) {}

  start(): void {
    void this.run();
  }

  /** Revokes the lease, so that another node can become steward at once. */
  async close(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    this.reportLost();
    if (this.heldLeaseId === undefined) return;
    const leaseId = this.heldLeaseId;
    this.heldLeaseId = undefined;
    await this.context.store.call(
      {kind: 'revokeLease', leaseId},
      STORE_TIMEOUT_MS,
    );
  }

  private async run(): Promise<void> {
    const {state, clock} = this.context;
    await this.awaitPeers();
    await sleep(this.rankDelayMs());
    while (!this.isClosed) {
      if (stewardRank(state, clock.nowMs()) === undefined) {
        await this.context.sharedTimer.wait(STEWARD_CHECK_MS);
        continue;
      }
      if (findSteward(state, clock.nowMs())) {
        await this.awaitStewardLoss();
        continue;
      }
      const holder = await this.readHolder();
      if (holder === 'unavailable') {
        await sleep(RETRY_DELAY_MS * (1 + Math.random()));
      } else if (holder === undefined) {
        await this.contend();
      } else {
        await this.awaitChange(holder);
      }
    }
  }

  /** Waits for the first list of the other nodes, without which this node can't determine its rank. */
  private async awaitPeers(): Promise<void> {
    const {state, clock} = this.context;
    const untilMs = clock.nowMs() + PEER_LIST_TIMEOUT_MS;
    while (!state.exchange.hasReadRegistry && clock.nowMs() < untilMs) {
      await this.context.sharedTimer.wait(STEWARD_CHECK_MS / 2);
    }
  }

  /** Waits, without calls to the store, until digests of a steward no longer arrive. */
  private async awaitStewardLoss(): Promise<void> {
    const {state, clock} = this.context;
    while (!this.isClosed && findSteward(state, clock.nowMs())) {
      await this.context.sharedTimer.wait(STEWARD_CHECK_MS);
    }
    await sleep(this.rankDelayMs());
  }

  /** Returns the revision of the holder's entry; undefined when there is no holder. */
  private async readHolder(): Promise<number | 'unavailable' | undefined> {
    const {store, settings, logger} = this.context;
    const outcome = await store.call({kind: 'get', key: KEY}, STORE_TIMEOUT_MS);
    if (outcome.kind !== 'ok') return 'unavailable';
    const entry = outcome.entries?.[0];
    if (!entry?.value.startsWith(holderPrefix(settings.nodeId))) {
      return entry?.version;
    }
    // This node's own entry, from a write that the store applied late or that
    // was restored from a backup. It may be bound to a lease that another node
    // holds by now, so it is deleted.
    const {version: expectedVersion} = entry;
    logger.write('info', 'steward', 'own entry removed', {expectedVersion});
    await store.call(
      {kind: 'compareAndSwap', key: KEY, expectedVersion, value: null},
      STORE_TIMEOUT_MS,
    );
    return undefined;
  }

  /** Waits until the holder's entry changes, at most for one watch call. */
  private async awaitChange(revision: number): Promise<void> {
    const outcome = await this.context.store.call(
      {
        kind: 'watch',
        prefix: KEY,
        sinceVersion: revision,
        timeoutMs: WATCH_TIMEOUT_MS,
      },
      WATCH_TIMEOUT_MS + STORE_TIMEOUT_MS,
    );
    if (outcome.kind !== 'ok') {
      await sleep(RETRY_DELAY_MS * (1 + Math.random()));
      return;
    }
    const last = outcome.entries?.at(-1);
    if (last?.value === '') await sleep(this.rankDelayMs());
  }

  /** Tries once to get the lease, and holds it until it is lost. */
  private async contend(): Promise<void> {
    const {store, clock, logger} = this.context;
    const ttlMs = Math.max(LEASE_TTL_MS, this.context.settings.minLeaseMs);
    const startedAtMs = clock.nowMs();
    const grant = await store.call(
      {kind: 'grantLease', ttlMs},
      STORE_TIMEOUT_MS,
    );
    if (grant.kind !== 'ok' || grant.leaseId === undefined) {
      await sleep(RETRY_DELAY_MS * (1 + Math.random()));
      return;
    }
    const {leaseId} = grant;
    const {nodeId} = this.context.settings;
    const nonce = randomBytes(6).toString('hex');
    const value = `${holderPrefix(nodeId)}${nonce}"}`;
    const write = await store.call(
      {kind: 'compareAndSwap', key: KEY, expectedVersion: 0, value, leaseId},
      STORE_TIMEOUT_MS,
    );
    let version = write.kind === 'ok' ? write.version : undefined;
    if (write.kind === 'unknown') version = await this.readOwnVersion(value);
    if (version === undefined) {
      void store.call({kind: 'revokeLease', leaseId}, STORE_TIMEOUT_MS);
      await sleep(RETRY_DELAY_MS * Math.random());
      return;
    }
    logger.write('info', 'steward', 'lease acquired', {version, leaseId});
    this.heldLeaseId = leaseId;
    await this.hold(leaseId, version, startedAtMs + ttlMs);
  }

  /** After a write without a response: the entry's version if the write was applied, otherwise undefined. */
  private async readOwnVersion(value: string): Promise<number | undefined> {
    const outcome = await this.context.store.call(
      {kind: 'get', key: KEY},
      STORE_TIMEOUT_MS,
    );
    if (outcome.kind !== 'ok') return undefined;
    const entry = outcome.entries?.[0];
    return entry?.value === value ? entry.version : undefined;
  }

  /** Renews the lease until it is lost or this node closes, and reports each renewal to the core. */
  private async hold(
    leaseId: LeaseId,
    version: number,
    firstUntilMs: number,
  ): Promise<void> {
    const {store, clock, events, logger, state} = this.context;
    const ttlMs = Math.max(LEASE_TTL_MS, this.context.settings.minLeaseMs);
    let untilMs = firstUntilMs;
    const term = storeVersion.termOf(version);
    const era = storeVersion.eraOf(version);
    events.dispatch({type: 'stewardLeaseHeld', term, era, untilMs});
    while (!this.isClosed) {
      await sleep(RENEW_INTERVAL_MS);
      if (this.isClosed) return;
      const startedAtMs = clock.nowMs();
      if (mustYieldStewardship(state, startedAtMs)) {
        logger.write('warn', 'steward', 'lease given up', {
          term,
          unreachable: [...state.reachability.paths.keys()],
        });
        void store.call({kind: 'revokeLease', leaseId}, STORE_TIMEOUT_MS);
        break;
      }
      const outcome = await store.call(
        {kind: 'keepAlive', leaseId},
        STORE_TIMEOUT_MS,
      );
      const hasExpired = clock.nowMs() >= untilMs && outcome.kind !== 'ok';
      const isOfEarlierEra = era < (state.restore.era ?? 0);
      if (outcome.kind === 'ok' && !isOfEarlierEra) {
        untilMs = startedAtMs + ttlMs;
        events.dispatch({type: 'stewardLeaseHeld', term, era, untilMs});
      }
      if (outcome.kind === 'conflict' || hasExpired || isOfEarlierEra) {
        logger.write('warn', 'steward', 'lease lost', {
          term,
          outcome: outcome.kind,
          era,
          storeEra: state.restore.era,
        });
        break;
      }
    }
    this.heldLeaseId = undefined;
    this.reportLost();
  }

  private reportLost(): void {
    this.context.events.dispatch({type: 'stewardLeaseLost'});
  }

  /** Delay before contending. Ready nodes contend one after another, which saves most of the store calls. */
  private rankDelayMs(): number {
    const {state, clock} = this.context;
    const rank = stewardRank(state, clock.nowMs()) ?? 0;
    if (state.peers.size === 0) return Math.random() * 4 * RANK_DELAY_MS;
    return rank * RANK_DELAY_MS + Math.random() * RANK_DELAY_MS * 0.5;
  }
}

/** First part of a holder's entry; the rest is a nonce that distinguishes one attempt from the next. */
function holderPrefix(nodeId: NodeId): string {
  return `{"holder":${JSON.stringify(nodeId).slice(0, -1)}/`;
}
