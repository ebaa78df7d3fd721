import {randomBytes} from 'node:crypto';
import type {LeaseId, NodeId} from '../core/ids/index.js';
import type {ServingContext, ServingPart} from './types.js';
import {findSteward, stewardRank} from '../core/serving/index.js';
import {storeVersion} from '../core/store/index.js';
import {sleep} from './sleep.js';

const KEY = 'rhubarbstile/steward';
/** Long enough for three renewals, short enough that a lost steward is soon followed. */
const LEASE_MS = 1000;
const RENEW_MS = 300;
const ANSWER_MS = 500;
/** How long the store may hold the watch of a contender. */
const WATCH_MS = 10_000;
const RETRY_MS = 300;
/** How often a contender looks whether the steward is still heard; the pause between digests. */
const HEARD_MS = 100;
/** Longest wait for the list of nodes. */
const LISTED_MS = 1000;
/** Pause between contenders, in the order of their names. */
const RANK_PAUSE_MS = 120;

/** Holds, or waits for, the lease of the steward, and tells the core. */
export class StewardLease implements ServingPart {
  private isClosed = false;
  private held?: LeaseId;

  constructor(private readonly context: ServingContext) {}

  start(): void {
    void this.run();
  }

  /** Gives the lease back, so that another node follows at once. */
  async close(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    this.drop();
    if (this.held === undefined) return;
    const leaseId = this.held;
    this.held = undefined;
    await this.context.store.call({kind: 'revokeLease', leaseId}, ANSWER_MS);
  }

  private async run(): Promise<void> {
    const {state, clock} = this.context;
    await this.awaitPeers();
    await sleep(this.rankPauseMs());
    while (!this.isClosed) {
      if (stewardRank(state) === undefined) {
        await this.context.pulse.wait(HEARD_MS);
        continue;
      }
      if (findSteward(state, clock.nowMs())) {
        await this.awaitSilence();
        continue;
      }
      const holder = await this.readHolder();
      if (holder === 'unavailable') {
        await sleep(RETRY_MS * (1 + Math.random()));
      } else if (holder === undefined) {
        await this.contend();
      } else {
        await this.awaitChange(holder);
      }
    }
  }

  /** Until the other nodes are listed nobody can tell who is to be steward. */
  private async awaitPeers(): Promise<void> {
    const {state, clock} = this.context;
    const untilMs = clock.nowMs() + LISTED_MS;
    while (!state.exchange.hasListed && clock.nowMs() < untilMs) {
      await this.context.pulse.wait(HEARD_MS / 2);
    }
  }

  /** Leaves the store alone while a steward is heard. */
  private async awaitSilence(): Promise<void> {
    const {state, clock} = this.context;
    while (!this.isClosed && findSteward(state, clock.nowMs())) {
      await this.context.pulse.wait(HEARD_MS);
    }
    await sleep(this.rankPauseMs());
  }

  /** Revision of the holder's entry; undefined without holder. */
  private async readHolder(): Promise<number | 'unavailable' | undefined> {
    const {store, settings, logger} = this.context;
    const outcome = await store.call({kind: 'get', key: KEY}, ANSWER_MS);
    if (outcome.kind !== 'ok') return 'unavailable';
    const entry = outcome.entries?.[0];
    if (!entry?.value.startsWith(holderStart(settings.nodeId))) {
      return entry?.version;
    }
    // A write of this node's that was carried out late, or that a copy brought
    // back: it may hang on a lease that is somebody else's by now.
    const {version: expectedVersion} = entry;
    logger.write('info', 'steward', 'own entry removed', {expectedVersion});
    await store.call(
      {kind: 'compareAndSwap', key: KEY, expectedVersion, value: null},
      ANSWER_MS,
    );
    return undefined;
  }

  private async awaitChange(revision: number): Promise<void> {
    const outcome = await this.context.store.call(
      {
        kind: 'watch',
        prefix: KEY,
        sinceVersion: revision,
        timeoutMs: WATCH_MS,
      },
      WATCH_MS + ANSWER_MS,
    );
    if (outcome.kind !== 'ok') {
      await sleep(RETRY_MS * (1 + Math.random()));
      return;
    }
    const last = outcome.entries?.at(-1);
    if (last?.value === '') await sleep(this.rankPauseMs());
  }

  private async contend(): Promise<void> {
    const {store, clock, logger} = this.context;
    const ttlMs = Math.max(LEASE_MS, this.context.settings.minLeaseMs);
    const startedAtMs = clock.nowMs();
    const grant = await store.call({kind: 'grantLease', ttlMs}, ANSWER_MS);
    if (grant.kind !== 'ok' || grant.leaseId === undefined) {
      await sleep(RETRY_MS * (1 + Math.random()));
      return;
    }
    const {leaseId} = grant;
    const {nodeId} = this.context.settings;
    const nonce = randomBytes(6).toString('hex');
    const value = `${holderStart(nodeId)}${nonce}"}`;
    const write = await store.call(
      {kind: 'compareAndSwap', key: KEY, expectedVersion: 0, value, leaseId},
      ANSWER_MS,
    );
    let version = write.kind === 'ok' ? write.version : undefined;
    if (write.kind === 'unknown') version = await this.readBack(value);
    if (version === undefined) {
      void store.call({kind: 'revokeLease', leaseId}, ANSWER_MS);
      await sleep(RETRY_MS * Math.random());
      return;
    }
    logger.write('info', 'steward', 'lease gained', {version, leaseId});
    this.held = leaseId;
    await this.hold(leaseId, version, startedAtMs + ttlMs);
  }

  /** After a write without answer: its version, when the entry is this node's. */
  private async readBack(value: string): Promise<number | undefined> {
    const outcome = await this.context.store.call(
      {kind: 'get', key: KEY},
      ANSWER_MS,
    );
    if (outcome.kind !== 'ok') return undefined;
    const entry = outcome.entries?.[0];
    return entry?.value === value ? entry.version : undefined;
  }

  private async hold(
    leaseId: LeaseId,
    version: number,
    firstUntilMs: number,
  ): Promise<void> {
    const {store, clock, events, logger, state} = this.context;
    const ttlMs = Math.max(LEASE_MS, this.context.settings.minLeaseMs);
    let untilMs = firstUntilMs;
    const term = storeVersion.termOf(version);
    const era = storeVersion.eraOf(version);
    events.dispatch({type: 'stewardLeaseHeld', term, era, untilMs});
    while (!this.isClosed) {
      await sleep(RENEW_MS);
      if (this.isClosed) return;
      const startedAtMs = clock.nowMs();
      const outcome = await store.call({kind: 'keepAlive', leaseId}, ANSWER_MS);
      const hasLapsed = clock.nowMs() >= untilMs && outcome.kind !== 'ok';
      const isVoid = era < (state.restore.era ?? 0);
      if (outcome.kind === 'ok' && !isVoid) {
        untilMs = startedAtMs + ttlMs;
        events.dispatch({type: 'stewardLeaseHeld', term, era, untilMs});
      }
      if (outcome.kind === 'conflict' || hasLapsed || isVoid) {
        logger.write('warn', 'steward', 'lease lost', {
          term,
          outcome: outcome.kind,
          era,
          storeEra: state.restore.era,
        });
        break;
      }
    }
    this.held = undefined;
    this.drop();
  }

  private drop(): void {
    this.context.events.dispatch({type: 'stewardLeaseLost'});
  }

  /** Ready nodes contend one after the other, so that most calls are saved. */
  private rankPauseMs(): number {
    const {state} = this.context;
    const rank = stewardRank(state) ?? 0;
    if (state.peers.size === 0) return Math.random() * 4 * RANK_PAUSE_MS;
    return rank * RANK_PAUSE_MS + Math.random() * RANK_PAUSE_MS * 0.5;
  }
}

/** How the entry of a holder begins; the rest tells one try from the next. */
function holderStart(nodeId: NodeId): string {
  return `{"holder":${JSON.stringify(nodeId).slice(0, -1)}/`;
}
