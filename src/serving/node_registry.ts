import type {LeaseId, NodeId, ZoneId} from '../core/ids/index.js';
import type {ListedNode} from '../core/serving/types.js';
import type {ServingContext, ServingPart} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {isAmongRegistered} from '../core/serving/index.js';
import {listEntries} from './list_entries.js';
import {makeId} from '../core/ids/index.js';
import {sleep} from './sleep.js';

const PREFIX = 'rhubarbstile/nodes/';
const LEASE_MS = 10_000;
const RENEW_MS = 3300;
const ANSWER_MS = 800;
/** Nodes start together: by the second look all of them are registered. */
const SECOND_LOOK_MS = 1200;
/**
 * Pause between later looks. A node that starts tells the others of itself, so
 * that a look only forgets those that are gone.
 */
const LOOK_MS = 30_000;
const RETRY_MS = 500;
/** Part of a pause by which the looks of nodes are spread. */
const SPREAD = 0.3;
/**
 * Where the whole system starts, nodes register one after the other, the
 * largest first, so that most find enough registered. These have a whole core.
 */
const FIRST_START_LEAST_MS = 400;
const FIRST_START_SPREAD_MS = 1200;

interface NodeEntry {
  readonly address: string;
  readonly zone: string;
  readonly cores: number;
}

/**
 * Registers this node with the store under a lease, where its zone has not
 * enough registered nodes, and learns of the others.
 */
export class NodeRegistry implements ServingPart {
  private isClosed = false;
  private isRegistered = false;
  private leaseId?: LeaseId;

  constructor(private readonly context: ServingContext) {}

  start(): void {
    void this.follow();
    void this.renewAlways();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    const {leaseId} = this;
    if (leaseId === undefined) return;
    await this.context.store.call({kind: 'revokeLease', leaseId}, ANSWER_MS);
  }

  private async follow(): Promise<void> {
    const {settings, state} = this.context;
    if (settings.isFirstStart && settings.coreCount < 1) {
      await sleep(FIRST_START_LEAST_MS + FIRST_START_SPREAD_MS * Math.random());
    }
    let pauseMs = SECOND_LOOK_MS;
    while (!this.isClosed) {
      const hasRead = await this.look();
      if (hasRead && !this.isRegistered && isAmongRegistered(state)) {
        await this.register();
      }
      // Those that need not register found the relays of their zone.
      const hasRelays = state.exchange.isRelayed && !this.isRegistered;
      if (hasRead && hasRelays) pauseMs = LOOK_MS;
      await sleep(hasRead ? pauseMs * (1 + SPREAD * Math.random()) : RETRY_MS);
      if (hasRead) pauseMs = LOOK_MS;
    }
  }

  private async look(): Promise<boolean> {
    const {store, events} = this.context;
    const list = await listEntries(store, PREFIX, ANSWER_MS);
    if (!list || this.isClosed) return false;
    const nodes = list.entries.flatMap(entry => this.read(entry) ?? []);
    events.dispatch({type: 'peersRegistered', nodes});
    return true;
  }

  private read({key, value}: StoreEntry): ListedNode | undefined {
    try {
      const {address, zone, cores} = JSON.parse(value) as NodeEntry;
      return {
        nodeId: makeId<NodeId>(key.slice(PREFIX.length)),
        peerAddress: String(address),
        zone: makeId<ZoneId>(zone),
        coreCount: Number(cores),
      };
    } catch (error) {
      this.context.logger.write('warn', 'peers', 'entry not understood', {
        key,
        error: String(error),
      });
      return undefined;
    }
  }

  private async register(): Promise<void> {
    const {settings, state, events} = this.context;
    this.isRegistered = await this.write();
    if (!this.isRegistered) return;
    const self: ListedNode = {
      nodeId: settings.nodeId,
      peerAddress: settings.listen.peers,
      zone: settings.zone,
      coreCount: settings.coreCount,
    };
    const others = [...state.exchange.listed.values()].filter(
      ({nodeId}) => nodeId !== settings.nodeId,
    );
    events.dispatch({type: 'peersRegistered', nodes: [...others, self]});
  }

  private async renewAlways(): Promise<void> {
    while (!this.isClosed) {
      await sleep(this.isRegistered ? RENEW_MS : RETRY_MS);
      if (this.isClosed || this.leaseId === undefined) continue;
      this.isRegistered = this.isRegistered
        ? await this.renew()
        : await this.write();
    }
  }

  private async write(): Promise<boolean> {
    const {store, settings, logger} = this.context;
    const key = PREFIX + settings.nodeId;
    const grant = await store.call(
      {kind: 'grantLease', ttlMs: LEASE_MS},
      ANSWER_MS,
    );
    if (grant.kind !== 'ok' || grant.leaseId === undefined) return false;
    this.leaseId = grant.leaseId;
    const entry: NodeEntry = {
      address: settings.listen.peers,
      zone: settings.zone,
      cores: settings.coreCount,
    };
    for (let expectedVersion = 0; ;) {
      const outcome = await store.call(
        {
          kind: 'compareAndSwap',
          key,
          expectedVersion,
          value: JSON.stringify(entry),
          leaseId: grant.leaseId,
        },
        ANSWER_MS,
      );
      if (outcome.kind !== 'conflict') {
        logger.write('info', 'store', 'registration', {outcome: outcome.kind});
        return outcome.kind === 'ok';
      }
      if (!outcome.current) return false;
      expectedVersion = outcome.current.version;
    }
  }

  /** False when the lease has ended and the entry must be written anew. */
  private async renew(): Promise<boolean> {
    const {leaseId} = this;
    if (leaseId === undefined) return false;
    const outcome = await this.context.store.call(
      {kind: 'keepAlive', leaseId},
      ANSWER_MS,
    );
    return outcome.kind !== 'conflict';
  }
}
