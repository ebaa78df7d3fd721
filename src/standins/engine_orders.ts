import type {EngineAssignment} from '../core/targets/types.js';

const ADAPTER_LOAD_FRACTION = 0.1;

interface Order {
  readonly orderId: string;
  readonly fencingToken: number;
  readonly assignment: EngineAssignment | null;
}

type OrderOutcome = 'done' | 'fenced' | 'refused';

/** What an engine was ordered to be, and how far it is. */
export class EngineOrders {
  assignment?: EngineAssignment;
  phase: 'idle' | 'loading' | 'ready' = 'idle';
  readonly seen: {orderId: string; outcome: OrderOutcome}[] = [];
  private highestToken = 0;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly options: {checksFencing: boolean; loadMs: number},
    /** Ends the work of the assignment that is given up. */
    private readonly onUnload: () => void,
  ) {}

  /** Carries out an order; loading goes on after the answer. */
  take(order: Order): OrderOutcome {
    const outcome = this.decide(order);
    this.seen.push({orderId: order.orderId, outcome});
    return outcome;
  }

  /** Forgets everything, as a restart does. */
  reset(): void {
    clearTimeout(this.timer);
    this.highestToken = 0;
    this.phase = 'idle';
    delete this.assignment;
  }

  private decide(order: Order): OrderOutcome {
    if (!Number.isInteger(order.fencingToken)) return 'refused';
    if (this.options.checksFencing && order.fencingToken < this.highestToken) {
      return 'fenced';
    }
    this.highestToken = Math.max(this.highestToken, order.fencingToken);
    if (order.assignment === null) {
      this.unload();
      delete this.assignment;
    } else {
      this.load(order.assignment);
    }
    return 'done';
  }

  private load(next: EngineAssignment): void {
    const last = this.assignment;
    this.assignment = next;
    const sameWeights =
      last !== undefined &&
      this.phase === 'ready' &&
      last.replicaId === next.replicaId &&
      last.model === next.model &&
      last.version === next.version &&
      last.role === next.role;
    if (sameWeights) return;
    const continues =
      last !== undefined && JSON.stringify(last) === JSON.stringify(next);
    if (continues) return;
    this.unload();
    this.phase = 'loading';
    const adapters = next.adapters.length * ADAPTER_LOAD_FRACTION;
    const loadMs = this.options.loadMs * (1 + adapters);
    this.timer = setTimeout(() => (this.phase = 'ready'), loadMs);
    this.timer.unref();
  }

  private unload(): void {
    clearTimeout(this.timer);
    this.phase = 'idle';
    this.onUnload();
  }
}
