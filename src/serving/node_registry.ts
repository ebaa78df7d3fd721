import type {LeaseId, NodeId} from '../core/ids/index.js';
import type {ServingContext, ServingPart} from './types.js';
import {StoreWatch} from './store_watch.js';
import {makeId} from '../core/ids/index.js';
import {sleep} from './sleep.js';

const PREFIX = 'rhubarbstile/nodes/';
const LEASE_MS = 6000;
const RENEW_MS = 2000;
const ANSWER_MS = 800;
const WATCH_MS = 10_000;
/** Nodes start together; one call tells of several. */
const PAUSE_MS = 700;
const RETRY_MS = 500;

/** Registers this node with the store under a lease, and learns the addresses of the others. */
export class NodeRegistry implements ServingPart {
  /** Peer addresses by node. */
  readonly addresses = new Map<NodeId, string>();
  private readonly watch: StoreWatch;
  private isClosed = false;
  private leaseId?: LeaseId;

  constructor(private readonly context: ServingContext) {
    const {store, clock, logger} = context;
    this.watch = new StoreWatch(store, clock, logger, {
      label: 'nodes',
      prefix: PREFIX,
      waitMs: WATCH_MS,
      pauseMs: () => PAUSE_MS,
      onList: entries => {
        this.addresses.clear();
        for (const {key, value} of entries) this.apply(key, value);
      },
      onChanges: entries => {
        for (const {key, value} of entries) this.apply(key, value);
      },
    });
  }

  start(): void {
    void this.register().then(() => this.watch.start());
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.watch.close();
    const {leaseId} = this;
    if (leaseId === undefined) return;
    await this.context.store.call({kind: 'revokeLease', leaseId}, ANSWER_MS);
  }

  private apply(key: string, value: string): void {
    const nodeId = makeId<NodeId>(key.slice(PREFIX.length));
    if (value === '') this.addresses.delete(nodeId);
    else this.addresses.set(nodeId, value);
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
