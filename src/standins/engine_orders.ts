import type {EngineAssignment} from '../core/targets/types.js';

/** Load time of one adapter, as a share of the load time of the weights. */
const ADAPTER_LOAD_FRACTION = 0.1;

interface Order {
  readonly orderId: string;
  readonly fencingToken: number;
  readonly assignment: EngineAssignment | null;
}

type OrderOutcome = 'done' | 'fenced' | 'refused';

/** Applies orders of stewards: the assignment of an engine and its load phase. */
export class EngineOrders {
  assignment?: EngineAssignment;
  phase: 'idle' | 'loading' | 'ready' = 'idle';
  /** All orders since the start of the process, with their outcomes. */
  readonly receivedOrders: {orderId: string; outcome: OrderOutcome}[] = [];
  private highestToken = 0;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly options: {checksFencing: boolean; loadMs: number},
    /** Called when an assignment is unloaded, to end its requests. */
    private readonly onUnload: () => void,
  ) {}

  /** Applies an order; loading continues in the background. */
  processOrder(order: Order): OrderOutcome {
    const outcome = this.applyOrder(order);
    this.receivedOrders.push({orderId: order.orderId, outcome});
    return outcome;
  }

  /** Clears the assignment and the highest fencing token, as a restart does. */
  reset(): void {
    clearTimeout(this.timer);
    this.highestToken = 0;
    this.phase = 'idle';
    delete this.assignment;
  }

  private applyOrder(order: Order): OrderOutcome {
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
    const hasSameWeights =
      last !== undefined &&
      this.phase === 'ready' &&
      last.replicaId === next.replicaId &&
      last.model === next.model &&
      last.version === next.version &&
      last.role === next.role;
    if (hasSameWeights) return;
    const isUnchanged =
      last !== undefined && JSON.stringify(last) === JSON.stringify(next);
    if (isUnchanged) return;
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
