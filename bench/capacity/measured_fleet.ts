import type {Effect} from '../../src/core/effects/types.js';
import type {OperationId} from '../../src/core/ids/index.js';
import {
  VirtualNetwork,
  VirtualStore,
  VirtualWorld,
} from '../../src/replay/index.js';
import {makeId} from '../../src/core/ids/index.js';

interface FleetCounts {
  /** Number of calls by area and kind. */
  readonly storeCalls: Map<string, number>;
  exchanges: number;
  /** Size of all peer messages as JSON. */
  messageBytes: number;
  /** The part of `messageBytes` that concerns the configuration. */
  configBytes: number;
}

const ZONES = 10;
const ROLES = {
  entry: true,
  relay: true,
  observer: false,
  broker: false,
  steward: false,
};

/** Nodes in ten zones in virtual time; counts their store calls and peer messages. */
export class MeasuredFleet {
  readonly world = new VirtualWorld(0);
  counts: FleetCounts = createCounts();
  private publications = 0;

  constructor(readonly nodes: number) {
    this.world.addFake(new VirtualStore(this.world));
    this.world.addFake(new VirtualNetwork(this.world));
    this.world.addFake({
      types: ['store', 'peerSend', 'peerAsk', 'peerAnswer'],
      handle: (_node, effect) => this.count(effect),
    });
    for (let at = 0; at < nodes; at++) this.startNode(at);
  }

  run(ms: number): void {
    this.world.time.runUntil(this.world.time.nowMs + ms);
  }

  reset(): void {
    this.counts = createCounts();
  }

  /** Publishes files through the first node. */
  publish(files: readonly {path: string; text: string}[]): void {
    this.publications += 1;
    const publicationId = `publication-${this.publications}`;
    this.world.nodes
      .values()
      .next()
      .value!.dispatch({
        type: 'operatorAsked',
        operationId: makeId<OperationId>(publicationId),
        operator: 'bench',
        request: {kind: 'publish', publicationId, files, prune: false},
      });
  }

  /** Whether every node has at least the revision. */
  hasRevision(revision: number): boolean {
    for (const node of this.world.nodes.values()) {
      if (node.state.config.document.revision < revision) return false;
    }
    return true;
  }

  private startNode(at: number): void {
    const nodeId = `n${at}`;
    const node = this.world.addNode(
      {
        nodeId: makeId(nodeId),
        incarnation: makeId(`${nodeId}/1`),
        zone: makeId(`zone-${at % ZONES}`),
        region: 'region',
        callerAddress: `10.0.${at >> 8}.${at & 255}:80`,
        controlAddress: `10.0.${at >> 8}.${at & 255}:81`,
        roles: ROLES,
      },
      at + 1,
    );
    // Staggers the starts over 1 s: nodes of a deployment do not start in the same millisecond.
    this.world.time.after((at * 997) % 1000, () => node.start());
  }

  private count(effect: Effect): void {
    const {counts} = this;
    if (effect.type === 'store') {
      const key = `${effect.area} ${effect.operation.kind}`;
      counts.storeCalls.set(key, (counts.storeCalls.get(key) ?? 0) + 1);
      return;
    }
    if (
      effect.type !== 'peerSend' &&
      effect.type !== 'peerAsk' &&
      effect.type !== 'peerAnswer'
    ) {
      return;
    }
    const bytes = JSON.stringify(effect.message).length;
    counts.messageBytes += bytes;
    if (effect.type !== 'peerAnswer') counts.exchanges += 1;
    if (effect.message.type.startsWith('config.')) counts.configBytes += bytes;
  }
}

function createCounts(): FleetCounts {
  return {storeCalls: new Map(), exchanges: 0, messageBytes: 0, configBytes: 0};
}
