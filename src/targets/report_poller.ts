import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Polls engines for their reports and cache changes. */
export class ReportPoller implements EffectHandler {
  readonly types = ['setPolls'] as const;

  constructor(private readonly context: NodeContext) {}

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
