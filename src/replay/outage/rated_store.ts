import type {Effect, EffectOf} from '../../core/effects/types.js';
import type {VirtualFake} from '../virtual_fake.js';
import type {VirtualNode} from '../virtual_node.js';
import type {VirtualStore} from '../virtual_store.js';
import type {VirtualWorld} from '../virtual_world.js';

interface RatedOptions {
  readonly callsPerSecond: number;
  /** Whether each node limits its calls to its share of the rate, in order of priority. */
  readonly hasBudget: boolean;
}

const BUDGET_INTERVAL_MS = 100;
/** Share of the store's rate that is divided among the nodes; the rest is reserved for bursts. */
const BUDGETED_SHARE = 0.75;
const BUCKET_MS = 100;

/**
 * A store with a limited call rate: calls beyond it wait, and `timedOut` counts
 * those that wait longer than their time-out. Calls first pass the call budget
 * of their node, if budgets are enabled.
 */
export class RatedStore implements VirtualFake {
  readonly types = ['store'] as const;
  /** Calls that reached the store, by 100 ms bucket. */
  readonly callsByBucket = new Map<number, number>();
  longestWaitMs = 0;
  timedOut = 0;
  isDown = false;
  private nextFreeAtMs = 0;
  private readonly queues = new Map<VirtualNode, EffectOf<'store'>[]>();

  constructor(
    private readonly world: VirtualWorld,
    private readonly store: VirtualStore,
    private readonly options: RatedOptions,
  ) {}

  handle(node: VirtualNode, effect: Effect): void {
    const call = effect as EffectOf<'store'>;
    if (!this.options.hasBudget) {
      this.forward(node, call);
      return;
    }
    const queue = this.queueOf(node);
    const at = queue.findIndex(other => other.priority < call.priority);
    queue.splice(at < 0 ? queue.length : at, 0, call);
  }

  /** Returns the most calls that reached the store within 100 ms of a time span. */
  peakCalls(fromMs: number, untilMs: number): number {
    let peak = 0;
    const last = Math.floor(untilMs / BUCKET_MS);
    for (let at = Math.floor(fromMs / BUCKET_MS); at <= last; at++) {
      peak = Math.max(peak, this.callsByBucket.get(at) ?? 0);
    }
    return peak;
  }

  /** Returns the calls that reached the store within a time span. */
  countCalls(fromMs: number, untilMs: number): number {
    let sum = 0;
    for (const [bucket, calls] of this.callsByBucket) {
      const atMs = bucket * BUCKET_MS;
      if (atMs >= fromMs && atMs < untilMs) sum += calls;
    }
    return sum;
  }

  private queueOf(node: VirtualNode): EffectOf<'store'>[] {
    const known = this.queues.get(node);
    if (known) return known;
    const queue: EffectOf<'store'>[] = [];
    this.queues.set(node, queue);
    this.releaseCalls(node, queue);
    return queue;
  }

  /** Sends the calls that the budget of a node allows; the timers of nodes are not synchronised. */
  private releaseCalls(node: VirtualNode, queue: EffectOf<'store'>[]): void {
    const budgetedRate = this.options.callsPerSecond * BUDGETED_SHARE;
    const perNode = Math.max(1, budgetedRate / this.queues.size);
    const intervalMs = Math.max(BUDGET_INTERVAL_MS, 1000 / perNode);
    const calls = Math.max(1, Math.floor((perNode * intervalMs) / 1000));
    for (const call of queue.splice(0, calls)) this.forward(node, call);
    this.world.time.after(intervalMs, () => this.releaseCalls(node, queue));
  }

  private forward(node: VirtualNode, call: EffectOf<'store'>): void {
    const {time} = this.world;
    const bucket = Math.floor(time.nowMs / BUCKET_MS);
    this.callsByBucket.set(bucket, (this.callsByBucket.get(bucket) ?? 0) + 1);
    if (this.isDown) {
      this.store.handle(node, call);
      return;
    }
    const serviceMs = 1000 / this.options.callsPerSecond;
    this.nextFreeAtMs = Math.max(this.nextFreeAtMs, time.nowMs) + serviceMs;
    const waitMs = this.nextFreeAtMs - time.nowMs;
    this.longestWaitMs = Math.max(this.longestWaitMs, waitMs);
    if (waitMs > call.timeoutMs) this.timedOut += 1;
    time.after(waitMs, () => this.store.handle(node, call));
  }
}
