import type {LeaseId, NodeId} from '../core/ids/index.js';
import type {ServingContext, ServingPart} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {StoreWatch} from './store_watch.js';
import {makeId} from '../core/ids/index.js';
import {sleep} from './sleep.js';

const PREFIX = 'rhubarbstile/nodes/';
const LEASE_MS = 6000;
const RENEW_MS = 2000;
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

/** Registers this node with the store under a lease, and learns the addresses of the others. */
export class NodeRegistry implements ServingPart {
  /** Peer addresses by node. */
  readonly addresses = new Map<NodeId, string>();
  private readonly list: StoreWatch;
  private isClosed = false;
  private leaseId?: LeaseId;

  constructor(private readonly context: ServingContext) {
    const {store, clock, logger} = context;
    this.list = new StoreWatch(store, clock, logger, {
      label: 'nodes',
      prefix: PREFIX,
      waitMs: 0,
      pauseMs: () => 0,
      onList: entries => this.apply(entries),
      onChanges: () => {}, // the list is read whole each time
    });
  }

  start(): void {
    void this.register();
    void this.follow();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.list.close();
    const {leaseId} = this;
    if (leaseId === undefined) return;
    await this.context.store.call({kind: 'revokeLease', leaseId}, ANSWER_MS);
  }

  private async follow(): Promise<void> {
    let pauseMs = SECOND_LOOK_MS;
    while (!this.isClosed) {
      const hasRead = await this.list.refresh();
      await sleep(hasRead ? pauseMs * (1 + SPREAD * Math.random()) : RETRY_MS);
      if (hasRead) pauseMs = LOOK_MS;
    }
  }

  private apply(entries: readonly StoreEntry[]): void {
    const {settings, events} = this.context;
    this.addresses.clear();
    for (const {key, value} of entries) {
      this.addresses.set(makeId<NodeId>(key.slice(PREFIX.length)), value);
    }
    const isListed = this.addresses.has(settings.nodeId);
    const count = this.addresses.size - (isListed ? 1 : 0);
    events.dispatch({type: 'peersRegistered', count});
  }

  private async register(): Promise<void> {
    let isRegistered = await this.write();
    void (async () => {
      while (!this.isClosed) {
        await sleep(isRegistered ? RENEW_MS : RETRY_MS);
        if (this.isClosed) return;
        isRegistered = isRegistered ? await this.renew() : await this.write();
      }
    })();
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
    const value = settings.listen.peers;
    for (let expectedVersion = 0; ;) {
      const outcome = await store.call(
        {
          kind: 'compareAndSwap',
          key,
          expectedVersion,
          value,
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
