import PQueue from 'p-queue';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {PlatformStore, StoreOutcome} from '../core/store/types.js';

const CONCURRENCY = 64;
const BUDGET_INTERVAL_MS = 100;

/** Performs store calls in order of priority within the node's call budget. */
export class StoreRunner implements EffectHandler {
  readonly types = ['store'] as const;
  private readonly lane: PQueue;

  constructor(
    private readonly context: NodeContext,
    private readonly store: PlatformStore,
  ) {
    const {maxCallsPerSecond} = context.settings.platform;
    const perInterval = (maxCallsPerSecond * BUDGET_INTERVAL_MS) / 1000;
    this.lane = new PQueue({
      concurrency: CONCURRENCY,
      interval: BUDGET_INTERVAL_MS,
      intervalCap: Math.max(1, Math.floor(perInterval)),
    });
  }

  handle(effect: Effect): void {
    const call = effect as EffectOf<'store'>;
    void this.lane.add(() => this.perform(call), {priority: call.priority});
  }

  async close(): Promise<void> {
    this.lane.clear();
    await this.lane.onIdle();
  }

  destroy(): void {
    this.lane.clear();
  }

  private async perform(call: EffectOf<'store'>): Promise<void> {
    const outcome = await this.store.call(call.operation, call.timeoutMs);
    this.count(call, outcome);
    this.context.events.dispatch({
      type: 'storeResult',
      area: call.area,
      operationId: call.operationId,
      outcome,
    });
  }

  private count(call: EffectOf<'store'>, outcome: StoreOutcome): void {
    this.context.metrics.count('storeCalls', 1, {
      kind: call.operation.kind,
      outcome: outcome.kind,
    });
  }
}
