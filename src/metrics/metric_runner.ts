import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Counts the core's measurements. */
export class MetricRunner implements EffectHandler {
  readonly types = ['metric'] as const;

  constructor(private readonly context: NodeContext) {}

  handle(effect: Effect): void {
    const {name, value, labels} = effect as EffectOf<'metric'>;
    this.context.metrics.count(name, value, labels);
  }

  async close(): Promise<void> {}

  destroy(): void {}
}
