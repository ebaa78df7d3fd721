import type {AnswerSource} from './answer_source.js';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {OpenAnswer} from './open_answer.js';
import type {RequestId} from '../core/ids/index.js';

/** HTTP front end for callers. */
export class CallerServer implements EffectHandler, AnswerSource {
  readonly types = ['refuse', 'answerKept', 'finishAnswer'] as const;

  constructor(private readonly context: NodeContext) {}

  find(_requestId: RequestId): OpenAnswer | undefined {
    return undefined;
  }

  async listen(): Promise<void> {}

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
