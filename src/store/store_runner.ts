import PQueue from 'p-queue';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {PlatformStore, StoreOutcome} from '../core/store/types.js';
import {STORE_PRIORITY} from '../core/store/index.js';
import {resolveCallShare} from './resolve_call_share.js';

const CONCURRENCY = 64;
const BUDGET_INTERVAL_MS = 100;
const MAX_QUEUED = 512;
/** Calls with a priority below the steward's get at most half of the queue, so that they cannot fill it. */
const MAX_QUEUED_LOW = MAX_QUEUED / 2;
/** Relative change of the rate, caused by the number of live nodes, above which it is adjusted. */
const RATE_TOLERANCE = 0.2;
const CLOSE_TIMEOUT_MS = 2000;

/** Performs store calls by priority and within the node's call budget; calls that exceed the budget are reported as unavailable. */
export class StoreRunner implements EffectHandler {
  readonly types = ['store'] as const;
  /** Calls per second that this node may make. */
  private share: number;
  private queue: PQueue;
  /** Calls that `close` waits for. */
  private readonly open = new Set<Promise<unknown>>();

  constructor(
    private readonly context: NodeContext,
    private readonly store: PlatformStore,
  ) {
    this.share = this.resolveCallsPerSecond();
    this.queue = createRateLimitedQueue(this.share);
  }

  handle(effect: Effect): void {
    const call = effect as EffectOf<'store'>;
    this.updateRate();
    const isLow = call.priority < STORE_PRIORITY.steward;
    const limit = isLow ? MAX_QUEUED_LOW : MAX_QUEUED;
    if (this.queue.size >= limit) {
      this.answer(call, {kind: 'unavailable', cause: 'budget'});
      return;
    }
    const queuedAtMs = this.context.clock.nowMs();
    const done = this.queue.add(() => this.perform(call, queuedAtMs), {
      priority: call.priority,
    });
    if (call.operation.kind === 'watch') return; // closing doesn't wait for long polls
    this.open.add(done);
    void done.then(() => this.open.delete(done));
  }

  /** Waits for calls in progress and in the queue, at most for the close timeout. */
  async close(): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timedOut = new Promise(resolve => {
      timer = setTimeout(resolve, CLOSE_TIMEOUT_MS);
    });
    await Promise.race([Promise.all(this.open), timedOut]);
    clearTimeout(timer);
    this.destroy();
  }

  destroy(): void {
    this.queue.clear();
  }

  private async perform(
    call: EffectOf<'store'>,
    queuedAtMs: number,
  ): Promise<void> {
    const waitedMs = this.context.clock.nowMs() - queuedAtMs;
    if (waitedMs > call.timeoutMs) {
      this.answer(call, {kind: 'unavailable', cause: 'budget'});
      return;
    }
    this.answer(call, await this.store.call(call.operation, call.timeoutMs));
  }

  private answer(call: EffectOf<'store'>, outcome: StoreOutcome): void {
    this.context.metrics.count('storeCalls', 1, {
      kind: call.operation.kind,
      outcome: outcome.kind,
    });
    this.context.events.dispatch({
      type: 'storeResult',
      area: call.area,
      operationId: call.operationId,
      outcome,
    });
  }

  private resolveCallsPerSecond(): number {
    const {settings, state} = this.context;
    return resolveCallShare(settings.platform, state.membership.peers.size + 1);
  }

  /** A queue's rate can't be changed, so a change of the rate moves later calls to a new queue. */
  private updateRate(): void {
    const callsPerSecond = this.resolveCallsPerSecond();
    if (Math.abs(callsPerSecond - this.share) <= RATE_TOLERANCE * this.share)
      return;
    this.share = callsPerSecond;
    this.queue = createRateLimitedQueue(callsPerSecond);
  }
}

function createRateLimitedQueue(callsPerSecond: number): PQueue {
  const perInterval = (callsPerSecond * BUDGET_INTERVAL_MS) / 1000;
  // Rates below one call per interval lengthen the interval instead.
  const interval = BUDGET_INTERVAL_MS * Math.max(1, 1 / perInterval);
  return new PQueue({
    concurrency: CONCURRENCY,
    interval,
    intervalCap: Math.max(1, Math.floor(perInterval)),
  });
}
