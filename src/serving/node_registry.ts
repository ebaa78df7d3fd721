import type {LeaseId, NodeId, ZoneId} from '../core/ids/index.js';
import type {RegisteredNode} from '../core/serving/types.js';
import type {ServingContext, ServingComponent} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {isAddress} from '../core/fleet/index.js';
import {isRegistrationNeeded} from '../core/serving/index.js';
import {listEntries} from './list_entries.js';
import {makeId} from '../core/ids/index.js';
import {sleep} from './sleep.js';

const KEY_PREFIX = 'rhubarbstile/nodes/';
/** An entry with more is mistaken: it would make its node a relay. */
const MAX_CORES = 4096;
const LEASE_TTL_MS = 10_000;
const RENEW_INTERVAL_MS = 3300;
const STORE_TIMEOUT_MS = 800;
/** Delay of the second read of the registry; nodes that start together are all registered by then. */
const SECOND_READ_DELAY_MS = 1200;
/**
 * Pause between later reads. A node that starts announces itself to the others
 * by digests, so these reads only serve to remove nodes that have stopped.
 */
const READ_INTERVAL_MS = 30_000;
const RETRY_DELAY_MS = 500;
/** Random part of a pause, so that the nodes do not read at the same time. */
const JITTER = 0.3;
/**
 * On the first start of the whole system, nodes with less than one core delay
 * their first read: the larger nodes register first, and most of the others
 * then find enough registered nodes and need not register.
 */
const FIRST_START_MIN_DELAY_MS = 400;
const FIRST_START_JITTER_MS = 1200;

/** Value of a node's entry in the store. */
interface NodeEntry {
  /** Peer address, for digests. */
  readonly address: string;
  readonly zone: string;
  readonly cores: number;
}

/**
 * Registers this node in the store under a lease if its zone has too few
 * registered nodes, and reads the list of the other registered nodes.
 */
export class NodeRegistry implements ServingComponent {
  private isClosed = false;
  private isRegistered = false;
  private leaseId?: LeaseId;

  constructor(private readonly context: ServingContext) {}

  start(): void {
    void this.pollRegistry();
    void this.keepRegistered();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    const {leaseId} = this;
    if (leaseId === undefined) return;
    await this.context.store.call(
      {kind: 'revokeLease', leaseId},
      STORE_TIMEOUT_MS,
    );
  }

  private async pollRegistry(): Promise<void> {
    const {settings, state} = this.context;
    if (settings.isFirstStart && settings.coreCount < 1) {
      await sleep(
        FIRST_START_MIN_DELAY_MS + FIRST_START_JITTER_MS * Math.random(),
      );
    }
    let pauseMs = SECOND_READ_DELAY_MS;
    while (!this.isClosed) {
      const hasRead = await this.readRegistry();
      if (hasRead && !this.isRegistered && isRegistrationNeeded(state)) {
        await this.register();
      }
      // A node that need not register already has the relays of its zone.
      const hasRelays = state.exchange.isRelayed && !this.isRegistered;
      if (hasRead && hasRelays) pauseMs = READ_INTERVAL_MS;
      await sleep(
        hasRead ? pauseMs * (1 + JITTER * Math.random()) : RETRY_DELAY_MS,
      );
      if (hasRead) pauseMs = READ_INTERVAL_MS;
    }
  }

  private async readRegistry(): Promise<boolean> {
    const {store, events} = this.context;
    const list = await listEntries(store, KEY_PREFIX, STORE_TIMEOUT_MS);
    if (!list || this.isClosed) return false;
    const nodes = list.entries.flatMap(entry => this.parseEntry(entry) ?? []);
    events.dispatch({type: 'peersRegistered', nodes});
    return true;
  }

  private parseEntry({key, value}: StoreEntry): RegisteredNode | undefined {
    try {
      const {address, zone, cores} = JSON.parse(value) as Partial<NodeEntry>;
      if (!isAddress(address)) throw new Error('no address');
      if (typeof zone !== 'string') throw new Error('no zone');
      if (typeof cores !== 'number' || !(cores > 0 && cores <= MAX_CORES)) {
        throw new Error('no number of cores');
      }
      return {
        nodeId: makeId<NodeId>(key.slice(KEY_PREFIX.length)),
        peerAddress: address,
        zone: makeId<ZoneId>(zone),
        coreCount: cores,
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
    this.isRegistered = await this.writeEntry();
    if (!this.isRegistered) return;
    const self: RegisteredNode = {
      nodeId: settings.nodeId,
      peerAddress: settings.listen.peers,
      zone: settings.zone,
      coreCount: settings.coreCount,
    };
    const others = [...state.exchange.registeredNodes.values()].filter(
      ({nodeId}) => nodeId !== settings.nodeId,
    );
    events.dispatch({type: 'peersRegistered', nodes: [...others, self]});
  }

  private async keepRegistered(): Promise<void> {
    while (!this.isClosed) {
      await sleep(this.isRegistered ? RENEW_INTERVAL_MS : RETRY_DELAY_MS);
      if (this.isClosed || this.leaseId === undefined) continue;
      this.isRegistered = this.isRegistered
        ? await this.renewLease()
        : await this.writeEntry();
    }
  }

  private async writeEntry(): Promise<boolean> {
    const {store, settings, logger} = this.context;
    const key = KEY_PREFIX + settings.nodeId;
    const grant = await store.call(
      {kind: 'grantLease', ttlMs: LEASE_TTL_MS},
      STORE_TIMEOUT_MS,
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
        STORE_TIMEOUT_MS,
      );
      if (outcome.kind !== 'conflict') {
        logger.write('info', 'store', 'node registration result', {
          outcome: outcome.kind,
        });
        return outcome.kind === 'ok';
      }
      if (!outcome.current) return false;
      expectedVersion = outcome.current.version;
    }
  }

  /** Returns false when the lease has expired and the entry must be written again. */
  private async renewLease(): Promise<boolean> {
    const {leaseId} = this;
    if (leaseId === undefined) return false;
    const outcome = await this.context.store.call(
      {kind: 'keepAlive', leaseId},
      STORE_TIMEOUT_MS,
    );
    return outcome.kind !== 'conflict';
  }
}
