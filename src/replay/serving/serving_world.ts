import type {
  DomainId,
  NodeId,
  PromptPartId,
  ServiceName,
  VmId,
  ZoneId,
} from '../../core/ids/index.js';
import type {
  AccessOptions,
  CallerOutcome,
  CrashingPartEvent,
  EngineWorld,
  JoinOrder,
  WorldNode,
  WorldRequest,
} from './types.js';
import type {AccessConfig, ServiceSpec} from '../../core/access/types.js';
import type {EngineChange, EngineCosts} from '../../core/fleet/types.js';
import type {Random} from '../../core/random/index.js';
import type {
  ServingBounds,
  ServingEffect,
  ServingEvent,
  ServingRequest,
  ServingState,
} from '../../core/serving/types.js';
import {ServingEngine} from './serving_engine.js';
import {SERVING_BOUNDS} from './serving_bounds.js';
import {createServingConfig} from './create_serving_config.js';
import {InvariantChecks} from './invariant_checks.js';
import {SimulatedCallers} from './simulated_callers.js';
import {SimulatedEvacuations} from './simulated_evacuations.js';
import {SimulatedColdness} from './simulated_coldness.js';
import {SimulatedPeerExchange} from './simulated_peer_exchange.js';
import {SimulatedEngineRegistry} from './simulated_engine_registry.js';
import {SimulatedForwards} from './simulated_forwards.js';
import {SimulatedNetwork} from './simulated_network.js';
import {VirtualTime} from '../virtual_time.js';
import {
  createServingState,
  mustYieldStewardship,
  reduceServing,
} from '../../core/serving/index.js';
import {storeVersion} from '../../core/store/index.js';
import {createRandom} from '../../core/random/index.js';
import {makeId} from '../../core/ids/index.js';

const SERVICE = makeId<ServiceName>('pool');
const TICK_INTERVAL_MS = 50;
const DIGEST_INTERVAL_MS = 100;
const ZONE_COUNT = 3;
const STORE_LATENCY_MS = 8;
/** Maximum extra delay until a node that is not the steward learns of a change in the store. */
const MAX_FOLLOWER_DELAY_MS = 1200;
const LEASE_TTL_MS = 1000;
const LEASE_RENEWAL_MS = 300;
/** Speeds up weight loads before the first request, to shorten the simulated start-up. */
const INITIAL_LOAD_FACTOR = 0.1;
/** Interval at which nodes read the registry of nodes, as the runtime does. */
const REGISTRY_READ_INTERVAL_MS = 30_000;
const NODE_RESTART_MS = 2500;
const ENGINE_RESTART_MS = 3000;
/** Spread of the start times of processes that start together. */
const START_SPREAD_MS = 400;
const MAX_SEED = 2 ** 31;

interface WorldOptions {
  readonly seed: number;
  readonly nodeCount: number;
  readonly domainCount: number;
  /** Number of engines per domain. */
  readonly domainSize: number;
  readonly zoneCount?: number;
  /** Number of cores of the node with index `at`; 1 by default. */
  readonly coreCountOf?: (at: number) => number;
  /** Organisations and priorities; four organisations of equal priority by default. */
  readonly access?: AccessOptions;
  /** Share of orders, 0 to 1, that time out and are executed seconds later. */
  readonly lateOrderShare?: number;
  /** Engines of a replica of the large model; 6 by default. */
  readonly largeSize?: number;
  /** Zone of the engines of a domain; one zone for all by default. */
  readonly zoneOfDomain?: (domain: string) => string;
  /** Bounds that differ from those of a typical deployment. */
  readonly bounds?: Partial<ServingBounds>;
  /** Fields of the service; engines are cold after they open under load if it names a cold time. */
  readonly service?: Partial<ServiceSpec>;
  /** Engines are cold as the service says, but nodes don't know it. */
  readonly hidesColdness?: boolean;
}

/**
 * Simulation of serving nodes, engines and callers in virtual time.
 *
 * Engines follow the configured costs and the replica protocol. The simulation
 * records violations of invariants as seen by the engines: a request that starts
 * in a replica with a member that was never ready, an engine that joins another
 * replica while the head of its current one serves, or weight loads above their
 * rate limit.
 */
export class ServingWorld implements EngineWorld {
  readonly time = new VirtualTime(1_000_000);
  readonly costs: EngineCosts;
  readonly stallMs = SERVING_BOUNDS.stallMs;
  readonly engines = new Map<VmId, ServingEngine>();
  readonly nodes: WorldNode[] = [];
  private readonly checks: InvariantChecks;
  readonly logs: string[] = [];
  readonly network: SimulatedNetwork;
  /** Requests that nodes pass on for others. */
  readonly forwards: SimulatedForwards;
  /** Crashes of engines by prompt parts. */
  readonly crashesByParts: CrashingPartEvent[] = [];
  /** A caller has sent a request. */
  hasTraffic = false;
  private readonly random: Random;
  readonly coldness: SimulatedColdness;
  private readonly config: AccessConfig;
  private readonly callers: SimulatedCallers;
  private readonly registry = new SimulatedEngineRegistry({
    engines: this.engines,
    nowMs: () => this.nowMs,
    after: (delayMs, run) => this.after(delayMs, run),
    randomInt: limit => this.random.nextInt(limit),
    notifyNodes: change => this.notifyNodes(change),
    coldLeftMs: vmId => this.coldness.leftMs(vmId),
  });
  readonly exchange = new SimulatedPeerExchange({
    after: (delayMs, run) => this.after(delayMs, run),
    dispatch: (node, event) => this.dispatch(node, event),
  });
  readonly evacuations: SimulatedEvacuations;
  private readonly zoneCount: number;
  private readonly zoneOfDomain: (domain: string) => string;
  private readonly bounds: ServingBounds;
  private readonly coreCountOf: (at: number) => number;
  private electionCount = 0;
  private steward?: WorldNode;

  constructor(options: WorldOptions) {
    this.random = createRandom(options.seed);
    this.zoneCount = options.zoneCount ?? ZONE_COUNT;
    this.zoneOfDomain = options.zoneOfDomain ?? (() => 'zone');
    this.bounds = {...SERVING_BOUNDS, ...options.bounds};
    this.coreCountOf = options.coreCountOf ?? (() => 1);
    const {service, hidesColdness} = options;
    this.config = createServingConfig(
      SERVICE,
      options.access,
      {
        ...service,
        ...(hidesColdness && {coldMs: undefined, coldRequestsPerS: undefined}),
      },
      options.largeSize,
    );
    const {coldOvershoot = 0, coldTolerance = 0} = this.bounds;
    this.coldness = new SimulatedColdness({
      coldMs: service?.coldMs ?? 0,
      boundPerS:
        (service?.coldRequestsPerS ?? 0) * coldOvershoot + coldTolerance,
      nowMs: () => this.nowMs,
      crash: vmId => {
        this.crashEngine(vmId, {isSilent: false});
        this.after(ENGINE_RESTART_MS, () => this.restartEngine(vmId));
      },
    });
    this.costs = this.config.services.get(SERVICE)!.engine!;
    this.checks = new InvariantChecks(this);
    this.callers = new SimulatedCallers({
      time: this.time,
      config: this.config,
      dispatchToNode: (request, at) => this.dispatchToNode(request, at),
    });
    this.forwards = new SimulatedForwards({
      callers: this.callers,
      findNode: nodeId => this.nodes.find(({state}) => state.nodeId === nodeId),
      nowMs: () => this.nowMs,
      after: (delayMs, run) => this.after(delayMs, run),
      dispatch: (node, event) => this.dispatch(node, event),
    });
    this.network = new SimulatedNetwork({
      coldness: this.coldness,
      engines: this.engines,
      callers: this.forwards,
      random: this.random,
      nowMs: () => this.nowMs,
      after: (delayMs, run) => this.after(delayMs, run),
      dispatch: (node, event) => this.dispatch(node, event),
    });
    this.network.lateOrderShare = options.lateOrderShare ?? 0;
    for (let at = 0; at < options.domainCount * options.domainSize; at++) {
      this.addEngine(`d${Math.floor(at / options.domainSize)}`);
    }
    for (let at = 0; at < options.nodeCount; at++) this.createNode();
    for (const [at, node] of this.nodes.entries()) {
      this.startNode(node);
      this.startTimers(node, at / this.nodes.length);
    }
    this.electSteward();
    this.evacuations = new SimulatedEvacuations({
      nodes: this.nodes,
      nowMs: () => this.nowMs,
      after: (delayMs, run) => this.after(delayMs, run),
      dispatch: (node, event) => this.dispatch(node, event),
    });
  }

  /** Adds a node that starts now, and registers it. */
  addNode(): WorldNode {
    const node = this.createNode();
    this.startNode(node);
    this.startTimers(node, this.random.next());
    return node;
  }

  /** Violations of the invariants on replicas and weight loads, as seen by the engines. */
  get violations(): readonly string[] {
    return this.checks.violations;
  }

  get nowMs(): number {
    return this.time.nowMs;
  }

  after(delayMs: number, run: () => void): void {
    this.time.after(delayMs, run);
  }

  findEngine(vmId: VmId): ServingEngine | undefined {
    return this.engines.get(vmId);
  }

  addEngine(domain: string): VmId {
    const vmId = makeId<VmId>(`e${this.engines.size}`);
    const engine = new ServingEngine(
      {
        vmId,
        service: SERVICE,
        address: `10.0.0.1:${this.engines.size + 1000}`,
        zone: makeId<ZoneId>(this.zoneOfDomain(domain)),
        domain: makeId<DomainId>(domain),
        slotCount: this.costs.slotCount,
        isLeaving: false,
        bornAtMs: this.nowMs,
        models: [],
        stagedModels: [],
        sequence: 0,
        revision: 0,
      },
      this,
    );
    this.engines.set(vmId, engine);
    this.publishRecord(vmId);
    return vmId;
  }

  /** Crashes an engine; the store removes its entry when the heartbeats time out, seconds later. */
  crashEngine(vmId: VmId, options: {readonly isSilent: boolean}): void {
    this.engines.get(vmId)!.crash(options.isSilent);
    this.registry.expire(vmId);
  }

  /** Lets the processes of engines stand still for `forMs`. */
  pauseEngines(vmIds: readonly VmId[], forMs: number): void {
    for (const vmId of vmIds) {
      const engine = this.engines.get(vmId)!;
      engine.pause();
      this.after(forMs, () => engine.resume());
    }
  }

  /** Drops an engine's heartbeats to the store while it keeps running; it is listed again after `forMs`. */
  dropHeartbeats(vmId: VmId, forMs: number): void {
    this.registry.dropHeartbeats(vmId, forMs);
  }

  crashByPart(vmId: VmId, partId: PromptPartId): void {
    this.crashesByParts.push({atMs: this.nowMs, partId});
    this.crashEngine(vmId, {isSilent: false});
    this.after(ENGINE_RESTART_MS, () => this.restartEngine(vmId));
  }

  restartEngine(vmId: VmId): void {
    this.engines.get(vmId)!.restart();
  }

  /** Crashes and restarts the steward's process; a new steward is elected when the lease has expired. */
  restartSteward(): void {
    const node = this.steward;
    if (!node) return;
    node.isUp = false;
    this.forwards.disconnect(node);
    this.steward = undefined;
    this.after(LEASE_TTL_MS, () => this.electSteward());
    this.after(NODE_RESTART_MS, () => {
      node.state = this.createState(this.nodes.indexOf(node));
      node.isUp = true;
      this.startNode(node);
    });
  }

  /** Restarts a node without its state. */
  restartNode(at: number, downMs: number): void {
    const node = this.nodes[at]!;
    node.isUp = false;
    this.forwards.disconnect(node);
    this.after(downMs, () => {
      node.state = this.createState(at);
      node.isUp = true;
      this.startNode(node);
    });
  }

  /** Powers off all nodes at once; they restart without their state after `downMs`. */
  powerCycleNodes(downMs: number): void {
    this.steward = undefined;
    this.callers.disconnectAll();
    for (const [at, node] of this.nodes.entries()) {
      node.isUp = false;
      this.forwards.disconnect(node);
      this.after(downMs + this.random.nextInt(START_SPREAD_MS), () => {
        node.state = this.createState(at);
        node.isUp = true;
        this.startNode(node);
      });
    }
    this.after(downMs + START_SPREAD_MS, () => this.electSteward());
  }

  /** Stops all nodes for a time, after which they go on with their state. What is sent to them meanwhile is lost, and the connections of calls that have ended are closed. */
  pauseNodes(pauseMs: number): void {
    for (const node of this.nodes) node.isUp = false;
    this.after(pauseMs, () => {
      for (const node of this.nodes) {
        node.isUp = true;
        for (const requestId of [...node.state.requests.keys()]) {
          if (this.callers.find(requestId)) continue;
          this.dispatch(node, {type: 'callerGone', requestId});
        }
      }
    });
  }

  /** The node that holds the steward's lease; undefined while there is none. */
  get stewardNode(): WorldNode | undefined {
    return this.steward;
  }

  /** Cuts the steward off from the store; a new steward is elected when the lease has expired. */
  disconnectSteward(): void {
    if (!this.steward) return;
    this.steward = undefined;
    this.after(LEASE_TTL_MS, () => this.electSteward());
  }

  /**
   * Makes the store unavailable for `outageMs` and then restores it to its state
   * `ageMs` earlier, without the steward's lease: another node may acquire the
   * lease while the previous holder still considers it valid.
   */
  restoreStoreFromBackup(options: {
    readonly ageMs: number;
    readonly outageMs: number;
  }): void {
    if (this.registry.isUnavailable) return;
    this.registry.isUnavailable = true;
    this.after(options.outageMs, () => {
      this.registry.restoreFromBackup(options.ageMs);
      this.steward = undefined;
      this.after(this.random.nextInt(LEASE_RENEWAL_MS), () =>
        this.electSteward(),
      );
      for (const node of this.nodes) {
        this.after(
          STORE_LATENCY_MS + this.random.nextInt(MAX_FOLLOWER_DELAY_MS),
          () => {
            this.dispatch(node, {
              type: 'storeEraRead',
              era: this.registry.era,
            });
            this.dispatch(node, {
              type: 'fleetListed',
              changes: this.registry.changes(),
              revision: this.registry.version,
            });
          },
        );
      }
    });
  }

  private electSteward(): void {
    if (this.steward || this.registry.isUnavailable) return;
    const candidates = this.nodes.filter(
      ({isUp, state}) => isUp && !mustYieldStewardship(state, this.nowMs),
    );
    const next = candidates[this.random.nextInt(candidates.length)];
    if (!next) return;
    this.steward = next;
    this.electionCount += 1;
    const {era, version} = this.registry;
    this.dispatch(next, {type: 'storeEraRead', era});
    const term = this.electionCount + storeVersion.termOf(version) * 1000;
    this.renewLease(next, term, era);
  }

  /** Outcomes of all requests that callers sent. */
  get outcomes(): readonly CallerOutcome[] {
    return this.callers.outcomes;
  }

  /** When callers' requests reached nodes. */
  get requestTimesMs(): readonly number[] {
    return this.callers.sentAtMs;
  }

  /** Whether callers use a node; tests replace it. */
  acceptsCallers: (node: WorldNode) => boolean = () => true;

  /** Sends a caller's request to a random node. */
  send(request: WorldRequest): void {
    this.hasTraffic = true;
    this.callers.send(request);
  }

  runFor(ms: number): void {
    this.time.runUntil(this.nowMs + ms);
  }

  /** Returns the number of replicas of a model that currently serve. */
  countServing(model: ServingRequest['model']): number {
    return [...this.engines.values()].filter(
      engine => engine.isServing && engine.record.models[0] === model,
    ).length;
  }

  publishRecord(vmId: VmId): void {
    this.registry.publishRecord(vmId);
  }

  recordJoin(vmId: VmId, order: JoinOrder): void {
    this.checks.recordJoin(vmId, order);
  }

  recordOpen(vmId: VmId): void {
    const {coldMs} = this.coldness;
    if (this.hasTraffic && coldMs > 0) this.coldness.start(vmId, coldMs);
  }

  recordReady(vmId: VmId): void {
    this.checks.recordReady(vmId);
  }

  recordRequestStart(vmId: VmId): void {
    this.checks.recordRequestStart(vmId);
  }

  recordWeightLoad(): void {
    if (this.hasTraffic) this.checks.recordWeightLoad();
  }

  weightLoadFactor(): number {
    return this.hasTraffic ? 1 : INITIAL_LOAD_FACTOR;
  }

  private createState(at: number): ServingState {
    return createServingState(
      {
        nodeId: makeId<NodeId>(`n${at}`),
        zone: makeId<ZoneId>(`zone-${at % this.zoneCount}`),
        callerAddress: `10.0.1.${at}:80`,
        peerAddress: `10.0.1.${at}:7340`,
        coreCount: this.coreCountOf(at),
        isFirstStart: !this.hasTraffic,
      },
      this.bounds,
      this.random.nextInt(MAX_SEED),
    );
  }

  /** Dispatches what a node reads at its start: store era, configuration, peers and listed engines. */
  private startNode(node: WorldNode): void {
    this.dispatch(node, {type: 'storeEraRead', era: this.registry.era});
    this.dispatch(node, {
      type: 'configRead',
      config: this.config,
      provenAtMs: Infinity,
    });
    this.dispatch(node, {type: 'peersRegistered', nodes: this.exchange.list()});
    this.dispatch(node, {type: 'fleetProven', provenAtMs: Infinity});
    this.dispatch(node, {
      type: 'fleetListed',
      changes: this.registry.changes(),
      revision: this.registry.version,
    });
  }

  private createNode(): WorldNode {
    const node = {state: this.createState(this.nodes.length), isUp: true};
    this.nodes.push(node);
    this.exchange.add(node);
    return node;
  }

  /** Starts a node's periodic events; `phase`, 0 to 1, shifts them against those of other nodes. */
  private startTimers(node: WorldNode, phase: number): void {
    const offset = phase * TICK_INTERVAL_MS;
    this.runPeriodically(TICK_INTERVAL_MS, offset, () =>
      this.dispatch(node, {type: 'tick'}),
    );
    this.runPeriodically(DIGEST_INTERVAL_MS, offset, () =>
      this.dispatch(node, {type: 'digestDue', isUrgent: false}),
    );
    this.runPeriodically(
      REGISTRY_READ_INTERVAL_MS,
      REGISTRY_READ_INTERVAL_MS + offset,
      () =>
        this.dispatch(node, {
          type: 'peersRegistered',
          nodes: this.exchange.list(),
        }),
    );
  }

  private runPeriodically(
    intervalMs: number,
    offsetMs: number,
    run: () => void,
  ): void {
    this.after(offsetMs, () => {
      run();
      this.runPeriodically(intervalMs, intervalMs, run);
    });
  }

  /** Applies an event to a node and performs the resulting effects; ignored while the node is down. */
  dispatch(node: WorldNode, event: ServingEvent): void {
    if (!node.isUp) return;
    const dated = {...event, nowMs: this.nowMs};
    for (const effect of reduceServing(node.state, dated)) {
      this.perform(node, effect);
    }
  }

  private perform(node: WorldNode, effect: ServingEffect): void {
    switch (effect.type) {
      case 'startAttempt':
        this.network.startAttempt(node, effect);
        break;
      case 'startForward':
        this.forwards.start(node, effect);
        break;
      case 'cancelAttempt':
        if (!this.forwards.cancel(effect.attemptId)) {
          this.network.cancelAttempt(effect.attemptId);
        }
        break;
      case 'refuse':
        this.forwards.refuse(effect);
        break;
      case 'cutAnswer':
        this.forwards.end(effect.requestId, 'cut');
        break;
      case 'sendOrder':
        this.network.sendOrder(node, effect.vmId, effect.order);
        break;
      case 'probeEngine':
        this.network.probe(node, effect);
        break;
      case 'sendDigest':
        this.exchange.deliver(effect);
        break;
      case 'relistEngines':
        this.dispatch(node, {
          type: 'fleetListed',
          changes: this.registry.changes(),
          revision: this.registry.version,
        });
        break;
      case 'log':
        this.logs.push(
          `${this.nowMs - 1_000_000} ${node.state.nodeId} ${effect.message} ${JSON.stringify(effect.fields)}`,
        );
        break;
      default:
        break;
    }
  }

  /** Sends a request to the node with index `at`, by default a random one, and returns it; undefined if none is running. */
  private dispatchToNode(
    request: ServingRequest,
    at: number | undefined,
  ): NodeId | undefined {
    const nodes = this.nodes.filter(
      (node, index) =>
        node.isUp &&
        this.acceptsCallers(node) &&
        (at === undefined || at === index),
    );
    const node = nodes[this.random.nextInt(nodes.length)];
    if (!node) return undefined;
    this.dispatch(node, {type: 'requestArrived', request});
    return node.state.nodeId;
  }

  private notifyNodes(change: EngineChange): void {
    const {revision} = change;
    for (const node of this.nodes) {
      const delayMs =
        node === this.steward
          ? STORE_LATENCY_MS
          : STORE_LATENCY_MS + this.random.nextInt(MAX_FOLLOWER_DELAY_MS);
      this.after(delayMs, () =>
        this.dispatch(node, {
          type: 'fleetChanged',
          changes: [change],
          revision,
        }),
      );
    }
  }

  private renewLease(node: WorldNode, term: number, era: number): void {
    // Without a renewal, the node acts as steward until its lease expires.
    if (this.steward !== node || this.registry.isUnavailable) return;
    if (mustYieldStewardship(node.state, this.nowMs)) {
      this.steward = undefined;
      this.dispatch(node, {type: 'stewardLeaseLost'});
      this.after(LEASE_RENEWAL_MS, () => this.electSteward());
      return;
    }
    const untilMs = this.nowMs + LEASE_TTL_MS;
    this.dispatch(node, {type: 'stewardLeaseHeld', term, era, untilMs});
    this.after(LEASE_RENEWAL_MS, () => this.renewLease(node, term, era));
  }
}
