import type {NodeId, OperationId, ZoneId} from '../../src/core/ids/index.js';
import type {
  OperatorAnswer,
  OperatorRequest,
} from '../../src/core/operators/types.js';
import type {SelfState} from '../../src/core/state/types.js';
import {makeId, type Incarnation} from '../../src/core/ids/index.js';
import {
  VirtualNetwork,
  VirtualStore,
  VirtualWorld,
  type VirtualNode,
} from '../../src/replay/index.js';
import {createOrganisationsFile, createServiceFile} from './config_files.js';
import {resolveEntries} from '../../src/core/index.js';

type PublishedFile = Extract<
  OperatorRequest,
  {kind: 'publish'}
>['files'][number];

interface PublishOptions {
  readonly operator?: string;
  readonly publicationId?: string;
  readonly baseRevision?: number;
  readonly prune?: boolean;
}

const ZONES = ['z1', 'z2', 'z3'];
const ROLES = {
  entry: true,
  relay: true,
  observer: true,
  broker: true,
  steward: true,
};

/** Nodes in three zones with a simulated store and network, in virtual time. */
export class VirtualFleet {
  readonly world = new VirtualWorld(1_000_000);
  readonly store = new VirtualStore(this.world);
  readonly network = new VirtualNetwork(this.world);
  private startCounter = 0;
  private publications = 0;
  private readonly pendingAnswers = new Map<
    OperationId,
    {answer?: OperatorAnswer}
  >();

  constructor(private readonly seed = 1) {
    this.world.addFake(this.store);
    this.world.addFake(this.network);
    this.world.addFake({
      types: ['operatorAnswer'],
      handle: (_node, effect) => {
        if (effect.type !== 'operatorAnswer') return;
        const pending = this.pendingAnswers.get(effect.operationId);
        if (pending) pending.answer = effect.answer;
      },
    });
  }

  /** Starts `count` nodes with the names `n0`, `n1` and so on. */
  start(count: number): VirtualNode[] {
    return Array.from({length: count}, (_, at) => this.startNode(at));
  }

  /** Starts one node, or a new incarnation of it. */
  startNode(at: number, changes: Partial<SelfState> = {}): VirtualNode {
    this.startCounter += 1;
    const self: SelfState = {
      nodeId: makeId<NodeId>(`n${at}`),
      incarnation: makeId<Incarnation>(`n${at}/${this.startCounter}`),
      zone: makeId<ZoneId>(ZONES[at % ZONES.length]!),
      region: 'r1',
      callerAddress: `10.0.0.${at}:80`,
      controlAddress: `10.0.0.${at}:81`,
      roles: ROLES,
      ...changes,
    };
    const node = this.world.addNode(self, this.seed * 1000 + this.startCounter);
    node.start();
    return node;
  }

  run(ms: number): void {
    this.world.time.runUntil(this.world.time.nowMs + ms);
  }

  get nowMs(): number {
    return this.world.time.nowMs;
  }

  /** Publishes files through a node; the returned object gets its `answer` as virtual time advances. */
  publish(
    node: VirtualNode,
    files: readonly PublishedFile[],
    options: PublishOptions = {},
  ): {answer?: OperatorAnswer} {
    this.publications += 1;
    const id = `p${this.publications}`;
    const operationId = makeId<OperationId>(`ask-${id}`);
    const pending: {answer?: OperatorAnswer} = {};
    this.pendingAnswers.set(operationId, pending);
    node.dispatch({
      type: 'operatorAsked',
      operationId,
      operator: options.operator ?? 'op',
      request: {
        kind: 'publish',
        publicationId: options.publicationId ?? id,
        files,
        prune: options.prune ?? false,
        ...(options.baseRevision !== undefined && {
          baseRevision: options.baseRevision,
        }),
      },
    });
    return pending;
  }

  /** Publishes an initial configuration and waits until it is in force. */
  publishInitialConfig(): void {
    const [node] = this.world.nodes.values();
    this.publish(node!, [createOrganisationsFile(), createServiceFile('s', 1)]);
    this.run(1000);
  }

  /** Returns the configuration revisions of the running nodes. */
  revisions(): number[] {
    return [...this.world.nodes.values()]
      .filter(node => node.isRunning)
      .map(node => node.state.config.document.revision);
  }

  /** Returns the nodes that a node lists as entries, as node numbers in ascending order. */
  entries(node: VirtualNode): number[] {
    return this.rankedEntries(node).sort((a, b) => a - b);
  }

  /** Returns the nodes that a node lists as entries, as node numbers in order of preference. */
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
