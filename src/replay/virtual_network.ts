import type {Effect} from '../core/effects/types.js';
import type {NodeId, OperationId} from '../core/ids/index.js';
import type {PeerMessage} from '../core/peers/types.js';
import type {VirtualFake} from './virtual_fake.js';
import type {VirtualNode} from './virtual_node.js';
import type {VirtualWorld} from './virtual_world.js';

const SEED_PREFIX = 'seed:';

/** Carries messages between nodes in virtual time; links can fail in one direction. */
export class VirtualNetwork implements VirtualFake {
  readonly types = ['peerSend', 'peerAsk', 'peerAnswer'] as const;
  /** One-way latency in milliseconds. */
  latencyMs = 1;
  /** Whether messages from one node currently reach another. */
  isUp: (from: NodeId, to: NodeId) => boolean = () => true;
  /** Handlers for the answers to pending requests. */
  private readonly open = new Map<OperationId, (m: PeerMessage) => void>();

  constructor(private readonly world: VirtualWorld) {}

  handle(node: VirtualNode, effect: Effect): void {
    const from = node.state.self.nodeId;
    if (effect.type === 'peerSend') {
      const messages = [effect.message];
      this.transmit(from, effect.to, peer => {
        peer.dispatch({type: 'peerExchanged', from, messages});
      });
    } else if (effect.type === 'peerAnswer') {
      this.open.get(effect.callId)?.(effect.message);
    } else if (effect.type === 'peerAsk') {
      this.ask(node, effect);
    }
  }

  private ask(
    node: VirtualNode,
    effect: Extract<Effect, {type: 'peerAsk'}>,
  ): void {
    const {area, to, callId, message, timeoutMs} = effect;
    const from = node.state.self.nodeId;
    const settle = (answer?: PeerMessage) => {
      if (!this.open.delete(callId)) return;
      node.dispatch({
        type: 'peerAnswered',
        area,
        from: to,
        callId,
        ...(answer && {message: answer}),
      });
    };
    this.open.set(callId, answer => {
      this.transmit(to, from, () => settle(answer));
    });
    this.world.time.after(timeoutMs, () => settle());
    this.transmit(from, to, peer => {
      peer.dispatch({type: 'peerAsked', from, callId, message});
    });
  }

  private transmit(
    from: NodeId,
    to: NodeId,
    deliver: (peer: VirtualNode) => void,
  ): void {
    this.world.time.after(this.latencyMs, () => {
      const peer = this.find(to);
      if (peer && this.isUp(from, peer.state.self.nodeId)) deliver(peer);
    });
  }

  /** Finds a node by id, or by control address for `seed:` peers. */
  private find(to: NodeId): VirtualNode | undefined {
    if (!to.startsWith(SEED_PREFIX)) return this.world.nodes.get(to);
    const address = to.slice(SEED_PREFIX.length);
    return [...this.world.nodes.values()].find(
      node => node.state.self.controlAddress === address,
    );
  }
}
