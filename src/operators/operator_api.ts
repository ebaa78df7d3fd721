import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** `/operator/*`: checks the operator token and hands requests to the core. */
export class OperatorApi implements EffectHandler {
  readonly types = ['operatorAnswer'] as const;

  constructor(private readonly context: NodeContext) {}

  /** Answers one HTTP request whose path starts with `/operator/`. */
  serve(_request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(503).end();
  }

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
