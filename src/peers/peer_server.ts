import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** tRPC procedures that peers call: `exchange` and `ask`. */
export class PeerServer implements EffectHandler {
  readonly types = ['peerAnswer'] as const;

  constructor(private readonly context: NodeContext) {}

  /** Answers one HTTP request whose path starts with `/trpc/`. */
  serve(_request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(503).end();
  }

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
