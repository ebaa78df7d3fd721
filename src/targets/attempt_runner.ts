import type {AnswerSource} from '../callers/types.js';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Sends requests to targets and pipes their answers to callers. */
export class AttemptRunner implements EffectHandler {
  readonly types = ['startAttempt', 'cancelAttempt'] as const;

  constructor(
    private readonly context: NodeContext,
    private readonly answers: AnswerSource,
  ) {}

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
