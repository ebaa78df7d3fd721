import type {ConfigDocument, ServiceConfig} from '../../core/config/types.js';
import type {
  Incarnation,
  NodeId,
  OrganisationId,
  RequestId,
  ServiceName,
  ZoneId,
} from '../../core/ids/index.js';
import type {ModelService} from './model_service.js';
import type {SelfState} from '../../core/state/types.js';
import type {VirtualNode} from '../virtual_node.js';
import type {VmRecord} from '../../core/store/types.js';
import {MemoryPlatform} from '../../standins/memory_platform.js';
import {VirtualFleet} from './virtual_fleet.js';
import {VirtualNetwork} from '../virtual_network.js';
import {VirtualStore} from '../virtual_store.js';
import {VirtualWorld} from '../virtual_world.js';
import {createPeer} from '../create_peer.js';
import {createVms} from './create_vms.js';
import {makeId} from '../../core/ids/index.js';

interface FleetWorldOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly domains: number;
  readonly vmsPerDomain: number;
  /** Share of engines that refuse orders with an outdated fencing token. */
  readonly fencingShare?: number;
  readonly services: readonly ModelService[];
  readonly loadMs?: number;
  readonly answerMs?: number;
  readonly weightTokensPerSecond?: number;
  readonly planner?: 'deficit-first' | 'first-come';
}

const START_MS = 1_000_000;
const ZONES = 3;
const ORGANISATION = makeId<OrganisationId>('stables');
const TOKEN_SHA256 = 'ab'.repeat(32);

/** Nodes, a store and a fleet of engines in virtual time. */
export class FleetWorld {
  readonly world = new VirtualWorld(START_MS);
  readonly store: VirtualStore;
  readonly network: VirtualNetwork;
  readonly fleet: VirtualFleet;
  readonly nodes: VirtualNode[] = [];
  private revision = 0;
  /** Services in force. */
  services: readonly ModelService[];
  private requests = 0;
  private incarnations = 0;

  constructor(private readonly options: FleetWorldOptions) {
    const {loadMs = 2000, answerMs = 1000, weightTokensPerSecond = 8} = options;
    const platform = new MemoryPlatform(weightTokensPerSecond);
    this.store = new VirtualStore(this.world, platform);
    this.network = new VirtualNetwork(this.world);
    this.fleet = new VirtualFleet(this.world, {
      loadMs,
      answerMs,
      tokensPerSecond: 20,
    });
    for (const fake of [this.store, this.network, this.fleet]) {
      this.world.addFake(fake);
    }
    for (const record of createVms(options)) this.fleet.addEngine(record);
    this.listVms([...this.fleet.engines.values()].map(one => one.record));
    this.services = options.services;
    for (let at = 0; at < options.nodes; at++) this.startNode(at);
    this.publish(options.services);
  }

  get nowMs(): number {
    return this.world.time.nowMs;
  }

  run(forMs: number): void {
    this.world.time.runUntil(this.nowMs + forMs);
  }

  /** Runs for a time in steps and calls `look` after each step. */
  watch(forMs: number, stepMs: number, look: () => void): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.run(stepMs);
      look();
    }
  }

  /** Replaces the platform's list of VMs. */
  listVms(records: readonly VmRecord[]): void {
    this.store.platform.setVms(records);
  }

  /** Puts the services in force at all nodes at once, without the store. */
  publish(services: readonly ModelService[]): void {
    this.services = services;
    this.revision += 1;
    for (const node of this.nodes) {
      node.state.config.document = this.createDocument();
    }
  }

  /** Starts a node, or a new incarnation of one that was killed. */
  startNode(at: number): VirtualNode {
    this.incarnations += 1;
    const self = createSelf(at, this.incarnations);
    const node = this.world.addNode(self, this.options.seed + at);
    node.state.config.document = this.createDocument();
    node.state.replicas.planner = this.options.planner ?? 'deficit-first';
    for (let other = 0; other < this.options.nodes; other++) {
      if (other !== at) addPeer(node, createSelf(other, 0));
    }
    this.nodes[at] = node;
    node.start();
    return node;
  }

  /** Sends a request for a service to a node. */
  request(node: VirtualNode, service: string): RequestId {
    this.requests += 1;
    const requestId = makeId<RequestId>(`request-${this.requests}`);
    node.dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        tokenSha256: TOKEN_SHA256,
        service,
        kind: 'model',
        promptTokens: 10,
        stream: true,
        deterministic: true,
        unrepeatable: false,
        bodyDigest: requestId,
        prefixHashes: [],
      },
    });
    return requestId;
  }

  /** Counts the replicas of a service that are formed and that the node considers serving. */
  countServing(service: string, node: VirtualNode): number {
    const {targets} = node.state;
    return [...targets.byId.values()].filter(target => {
      if (target.service !== service || target.bar) return false;
      const leader = targets.leaders.get(target.targetId)!;
      return this.fleet.isFormed(this.fleet.engines.get(leader)!);
    }).length;
  }

  private createDocument(): ConfigDocument {
    const services = this.services.map(createService);
    const organisation = {
      name: ORGANISATION,
      tokenSha256: [TOKEN_SHA256],
      weight: 1,
      maxRequestsPerSecond: 1e6,
      maxInFlight: 1e6,
    };
    return {
      revision: this.revision,
      services: new Map(services.map(one => [one.name, one])),
      organisations: new Map([[ORGANISATION, organisation]]),
    };
  }
}

function createService(service: ModelService): ServiceConfig {
  return {
    name: makeId<ServiceName>(service.name),
    kind: 'model',
    model: `${service.name}-model`,
    version: service.version ?? '1',
    adapters: service.adapters ?? [],
    replicas: service.replicas,
    vmsPerReplica: service.vmsPerReplica,
    slotsPerReplica: 4,
    minServing: service.minServing ?? 0,
    organisations: [ORGANISATION],
    unrepeatable: false,
    timeoutMs: 60_000,
    onceRetentionMs: 60_000,
    maxQueue: 1000,
    priority: service.priority ?? 0,
  };
}

function createSelf(at: number, incarnation: number): SelfState {
  const nodeId = makeId<NodeId>(`node-${at}`);
  return {
    nodeId,
    incarnation: makeId<Incarnation>(`${nodeId}/${incarnation}`),
    zone: makeId<ZoneId>(`zone-${at % ZONES}`),
    region: 'region',
    callerAddress: `${nodeId}:1`,
    controlAddress: `${nodeId}:2`,
    roles: {
      entry: true,
      relay: true,
      observer: true,
      broker: true,
      steward: true,
    },
  };
}

function addPeer(node: VirtualNode, self: SelfState): void {
  const {nodeId, incarnation, zone, callerAddress, controlAddress} = self;
  node.state.membership.peers.set(
    nodeId,
    createPeer({nodeId, incarnation, zone, callerAddress, controlAddress}),
  );
}
