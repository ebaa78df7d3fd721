import {Agent} from 'node:http';
import type {DemoOutcome} from './demo_outcome.js';
import type {DevCluster} from '../dev_cluster.js';
import {ChatRequest} from './chat_request.js';
import {DEV_SECRETS} from '../dev_secrets.js';
import {DemoTally} from './demo_tally.js';
import {EntryCache} from './entry_cache.js';
import {OrderRequest} from './order_request.js';
import {createRandom} from '../../core/random/index.js';

const LONG_SHARE = 0.1;
const ORDER_SHARE = 0.25;
const SHORT_TOKENS = 12;
const LONG_TOKENS = 240;
const SEED = 1;
const MAX_SOCKETS = 256;
const ORGANISATIONS = [
  {name: 'bakery', token: DEV_SECRETS.bakeryToken},
  {name: 'stable', token: DEV_SECRETS.stableToken},
] as const;

/** Sends requests and counts their outcomes. */
export class DemoLoad {
  readonly tally = new DemoTally();
  readonly reasons: string[] = [];
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
  });
  private readonly callers;
  private readonly open = new Set<Promise<void>>();
  private readonly orders: OrderRequest[] = [];
  /** Seeded, so that every run sends the same mix of requests. */
  private readonly random = createRandom(SEED);
  private counter = 0;

  constructor(private readonly cluster: DevCluster) {
    const seedAddresses = cluster.nodes.map(
      one => one.settings.node.callerAddress,
    );
    this.callers = ORGANISATIONS.map(({name, token}) => {
      const createBook = (service: string) => {
        const query = `service=${service}&organisation=${name}`;
        return new EntryCache(seedAddresses, this.agent, query);
      };
      return {token, chat: createBook('chat'), orders: createBook('orders')};
    });
  }

  get openCount(): number {
    return this.open.size;
  }

  /** Sends one request of a randomly drawn kind. */
  send(): void {
    const request = this.createRequest();
    this.tally.noteSent(request.kind);
    const completion = request.run().then(outcome => this.note(outcome));
    this.open.add(completion);
    void completion.finally(() => this.open.delete(completion));
  }

  /** Waits for all open requests, which end by their own time-outs at the latest. */
  async finish(): Promise<void> {
    await Promise.all(this.open);
    this.agent.destroy();
  }

  /** Counts the orders that ran more than once. */
  countRepeatedOrders(): number {
    return this.orders.filter(order => order.countRuns() > 1).length;
  }

  private note(outcome: DemoOutcome): void {
    this.tally.noteOutcome(outcome);
    if (outcome.end !== 'whole') {
      this.reasons.push(`${outcome.kind} ${outcome.end}: ${outcome.reason}`);
    }
  }

  private createRequest(): ChatRequest | OrderRequest {
    this.counter += 1;
    const caller = this.callers[this.counter % this.callers.length]!;
    const {token} = caller;
    const draw = this.random.next();
    if (draw < ORDER_SHARE) {
      const order = new OrderRequest(
        {entries: caller.orders, agent: this.agent, token},
        {stars: this.counter, countRuns: key => this.countRuns(key)},
      );
      this.orders.push(order);
      return order;
    }
    const isLong = draw < ORDER_SHARE + LONG_SHARE;
    return new ChatRequest(
      {entries: caller.chat, agent: this.agent, token},
      {
        kind: isLong ? 'long' : 'short',
        prompt: `design ${this.counter} of a paper star`,
        outputTokens: isLong ? LONG_TOKENS : SHORT_TOKENS,
      },
    );
  }

  private countRuns(idempotencyKey: string): number {
    const name = `POST /orders ${idempotencyKey}`;
    return this.cluster.targets.countRuns().get(name) ?? 0;
  }
}
