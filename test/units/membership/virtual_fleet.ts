import type {NodeId, ZoneId} from '../../../src/core/ids/index.js';
import type {SelfState} from '../../../src/core/state/types.js';
import {makeId, type Incarnation} from '../../../src/core/ids/index.js';
import {
  VirtualNetwork,
  VirtualStore,
  VirtualWorld,
  type VirtualNode,
} from '../../../src/replay/index.js';
import {resolveEntries} from '../../../src/core/index.js';

const ZONES = ['z1', 'z2', 'z3'];
const ROLES = {
  entry: true,
  relay: true,
  observer: true,
  broker: true,
  steward: true,
};

/** Nodes in three zones over a store and a network in virtual time. */
export class VirtualFleet {
  readonly world = new VirtualWorld(1_000_000);
  readonly store = new VirtualStore(this.world);
  readonly network = new VirtualNetwork(this.world);
  private starts = 0;

  constructor(private readonly seed = 1) {
    this.world.addFake(this.store);
    this.world.addFake(this.network);
  }

  /** Starts `count` nodes called `n0`, `n1` and so on. */
  start(count: number): VirtualNode[] {
    return Array.from({length: count}, (_, at) => this.startNode(at));
  }

  /** Starts one node, or a new incarnation of it. */
  startNode(at: number, changes: Partial<SelfState> = {}): VirtualNode {
    this.starts += 1;
    const self: SelfState = {
      nodeId: makeId<NodeId>(`n${at}`),
      incarnation: makeId<Incarnation>(`n${at}/${this.starts}`),
      zone: makeId<ZoneId>(ZONES[at % ZONES.length]!),
      region: 'r1',
      callerAddress: `10.0.0.${at}:80`,
      controlAddress: `10.0.0.${at}:81`,
      roles: ROLES,
      ...changes,
    };
    const node = this.world.addNode(self, this.seed * 1000 + this.starts);
    node.start();
    return node;
  }

  run(ms: number): void {
    this.world.time.runUntil(this.world.time.nowMs + ms);
  }

  get nowMs(): number {
    return this.world.time.nowMs;
  }

  /** Makes every node count as configured, for tests of membership alone. */
  configure(): void {
    for (const node of this.world.nodes.values()) {
      const {config} = node.state;
      config.document = {...config.document, revision: 1};
      config.isCatchingUp = false;
    }
  }

  /** Caller addresses that a node answers with, as numbers of nodes, sorted. */
  entries(node: VirtualNode): number[] {
    return this.rankedEntries(node).sort((a, b) => a - b);
  }

  /** The same, best first. */
  rankedEntries(
    node: VirtualNode,
    organisation = 'o',
    service = 's',
  ): number[] {
    const query = {organisation, service};
    const {entries} = resolveEntries(node.state, query, this.nowMs);
    return entries.map(entry => Number(/\.(\d+):/.exec(entry.address)![1]));
  }
}
