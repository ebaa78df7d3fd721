import {Agent} from 'node:http';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {NodeId} from '../core/ids/index.js';
import {LRUCache} from 'lru-cache';
import {PeerLink} from './peer_link.js';

const MAX_SOCKETS_PER_PEER = 6;
const MAX_LINKS = 128;

/** Sends this node's messages to peers, batched into one exchange per peer and second. */
export class PeerClient implements EffectHandler {
  readonly types = ['peerSend', 'peerAsk', 'setPeers'] as const;
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_PEER,
  });
  private addresses = new Map<NodeId, string>();
  /** Created on first use; the least recently used are evicted, since most nodes send to few peers. */
  private readonly links = new LRUCache<NodeId, PeerLink>({
    max: MAX_LINKS,
    dispose: link => link.destroy(),
  });

  constructor(private readonly context: NodeContext) {}

  handle(effect: Effect): void {
    if (effect.type === 'setPeers') {
      this.setPeers(effect.peers);
    } else if (effect.type === 'peerSend') {
      const {to, message, urgent = false} = effect;
      this.link(to)?.send(message, urgent);
    } else if (effect.type === 'peerAsk') {
      void this.ask(effect);
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.links.values()].map(link => link.close()));
    this.destroy();
  }

  destroy(): void {
    this.links.clear();
    this.agent.destroy();
  }

  private setPeers(peers: EffectOf<'setPeers'>['peers']): void {
    this.addresses = new Map(peers.map(peer => [peer.nodeId, peer.address]));
    for (const [nodeId, link] of this.links.entries()) {
      if (this.addresses.get(nodeId) !== link.address) {
        this.links.delete(nodeId);
      }
    }
  }

  private link(to: NodeId): PeerLink | undefined {
    const known = this.links.get(to);
    if (known) return known;
    const address = this.addresses.get(to);
    if (address === undefined) return undefined;
    const link = this.createLink(address);
    this.links.set(to, link);
    return link;
  }

  private createLink(address: string): PeerLink {
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
    const message = await this.link(to)?.ask(effect);
    this.context.events.dispatch({
      type: 'peerAnswered',
      area,
      from: to,
      callId,
      ...(message && {message}),
    });
  }
}
