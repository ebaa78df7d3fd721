import {Agent} from 'node:http';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {NodeId} from '../core/ids/index.js';
import {PeerLink} from './peer_link.js';

const MAX_SOCKETS_PER_PEER = 6;

/** Sends this node's messages to peers, batched into one exchange per peer and second. */
export class PeerClient implements EffectHandler {
  readonly types = ['peerSend', 'peerAsk', 'setPeers'] as const;
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_PEER,
  });
  private readonly links = new Map<NodeId, PeerLink>();

  constructor(private readonly context: NodeContext) {}

  handle(effect: Effect): void {
    if (effect.type === 'setPeers') {
      this.setPeers(effect.peers);
    } else if (effect.type === 'peerSend') {
      const {to, message, urgent = false} = effect;
      this.links.get(to)?.send(message, urgent);
    } else if (effect.type === 'peerAsk') {
      void this.ask(effect);
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.links.values()].map(link => link.close()));
    this.destroy();
  }

  destroy(): void {
    for (const link of this.links.values()) link.destroy();
    this.links.clear();
    this.agent.destroy();
  }

  private setPeers(peers: EffectOf<'setPeers'>['peers']): void {
    const wanted = new Map(peers.map(peer => [peer.nodeId, peer.address]));
    for (const [nodeId, link] of this.links) {
      if (wanted.get(nodeId) === link.address) continue;
      link.destroy();
      this.links.delete(nodeId);
    }
    for (const [nodeId, address] of wanted) {
      if (!this.links.has(nodeId)) this.links.set(nodeId, this.link(address));
    }
  }

  private link(address: string): PeerLink {
    const {settings, metrics} = this.context;
    return new PeerLink({
      self: settings.node.nodeId,
      address,
      secret: settings.secrets.peerSecret,
      agent: this.agent,
      countBytes: (sentBytes, receivedBytes) => {
        metrics.count('peerBytes', sentBytes, {direction: 'sent'});
        metrics.count('peerBytes', receivedBytes, {direction: 'received'});
      },
    });
  }

  private async ask(effect: EffectOf<'peerAsk'>): Promise<void> {
    const {area, callId, to} = effect;
    const message = await this.links.get(to)?.ask(effect);
    this.context.events.dispatch({
      type: 'peerAnswered',
      area,
      from: to,
      callId,
      ...(message && {message}),
    });
  }
}
