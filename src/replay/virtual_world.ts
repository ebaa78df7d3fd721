import type {Effect} from '../core/effects/types.js';
import type {NodeId} from '../core/ids/index.js';
import type {SelfState} from '../core/state/types.js';
import type {VirtualFake} from './virtual_fake.js';
import {VirtualNode} from './virtual_node.js';
import {VirtualTime} from './virtual_time.js';

/** The cores of several nodes, virtual time, and the fakes that perform their effects. */
export class VirtualWorld {
  readonly time: VirtualTime;
  readonly nodes = new Map<NodeId, VirtualNode>();
  private readonly fakes = new Map<Effect['type'], VirtualFake[]>();

  constructor(startMs = 0) {
    this.time = new VirtualTime(startMs);
  }

  /** Adds a fake; several fakes may handle the same type of effect. */
  addFake(fake: VirtualFake): void {
    for (const type of fake.types) {
      const others = this.fakes.get(type) ?? [];
      this.fakes.set(type, [...others, fake]);
    }
  }

  /** Adds a node; a new incarnation replaces an earlier node with the same id. */
  addNode(self: SelfState, seed: number): VirtualNode {
    const node = new VirtualNode(this, self, seed);
    this.nodes.set(self.nodeId, node);
    return node;
  }

  /** Passes a node's effect to all fakes for its type. */
  perform(node: VirtualNode, effect: Effect): void {
    for (const fake of this.fakes.get(effect.type) ?? []) {
      fake.handle(node, effect);
    }
  }
}
