import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Sends stewards' orders to engines. */
export class OrderSender implements EffectHandler {
  readonly types = ['sendOrder'] as const;

  constructor(private readonly context: NodeContext) {}

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
