import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DemoEnd} from './demo_end.js';
import type {Exchange} from './exchange.js';
import {DemoRequest} from './demo_request.js';

/** Delay before an order that may have run is looked up at the service. */
const LOOK_UP_DELAY_MS = 2000;

interface OrderOptions {
  readonly stars: number;
  /** Looks up at the order service how often the order with a key ran. */
  readonly countRuns: (idempotencyKey: string) => number;
}

/**
 * An order, which must run at most once: it is retried with the same key, and
 * looked up when it may have run.
 */
export class OrderRequest extends DemoRequest {
  readonly kind = 'order';
  protected readonly path = '/services/orders/orders';
  protected readonly body;
  /**
   * Keys used so far; a new one is added only after a look-up showed that the
   * previous ones did not run.
   */
  private readonly keys = [randomUUID() as string];

  constructor(
    options: ConstructorParameters<typeof DemoRequest>[0],
    private readonly order: OrderOptions,
  ) {
    super(options);
    this.body = JSON.stringify({stars: order.stars});
  }

  /** Counts the runs of the order under all its keys. */
  countRuns(): number {
    return this.keys.reduce((sum, key) => sum + this.order.countRuns(key), 0);
  }

  protected get headers() {
    return {'idempotency-key': this.keys.at(-1)!};
  }

  protected read(exchange: Exchange): DemoEnd | undefined {
    if (exchange.status !== 200) return undefined;
    const {run, receivedBytes} = JSON.parse(exchange.body) as {
      run?: number;
      receivedBytes?: number;
    };
    if (run === 1 && receivedBytes === Buffer.byteLength(this.body)) {
      return {end: 'whole'};
    }
    return {end: 'wrong', reason: `run ${run} was answered`};
  }

  protected async afterRun(): Promise<DemoEnd | undefined> {
    await sleep(LOOK_UP_DELAY_MS);
    if (this.countRuns() > 0) return {end: 'whole', lookedUp: true};
    this.keys.push(randomUUID());
    return undefined;
  }
}
