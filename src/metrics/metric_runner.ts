import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Performs the core's metric effects by recording their values. */
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
