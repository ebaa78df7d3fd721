import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Performs the core's log effects with the node's logger. */
export class LogRunner implements EffectHandler {
  readonly types = ['log'] as const;

  constructor(private readonly context: NodeContext) {}

  handle(effect: Effect): void {
    const line = effect as EffectOf<'log'>;
    const {level, area, message, fields} = line;
    this.context.logger.write(level, area, message, fields);
  }

  async close(): Promise<void> {}

  destroy(): void {}
}
