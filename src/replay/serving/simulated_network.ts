import type {
  AttemptId,
  NodeId,
  PromptPartId,
  VmId,
} from '../../core/ids/index.js';
import type {EngineOrder} from '../../core/steward/types.js';
import type {Random} from '../../core/random/index.js';
import type {ServingEffect, ServingEvent} from '../../core/serving/types.js';
import type {ServingEngine} from './serving_engine.js';
import type {SimulatedColdness} from './simulated_coldness.js';
import {findLimitPerS} from '../../core/serving/index.js';
import type {
  AttemptArrival,
  CallerSide,
  CrashingPartEvent,
  PathFault,
  WorldNode,
} from './types.js';

const NETWORK_LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 300;
const PROBE_TIMEOUT_MS = 250;
const ORDER_TIMEOUT_MS = 600;
/** Idle connections to engines are kept open for this long, as by the runtime. */
const KEPT_CONNECTION_MS = 4000;
/** Minimum delay of an order that is executed late, and the range of the random delay added to it. */
const MIN_LATE_ORDER_DELAY_MS = 2000;
const LATE_ORDER_JITTER_MS = 10_000;

/** An attempt that an engine has, or that is lost on the way. */
interface RunningAttempt {
  readonly node: WorldNode;
  readonly vmId: VmId;
}

interface NetworkOptions {
  readonly coldness: SimulatedColdness;
  readonly engines: ReadonlyMap<VmId, ServingEngine>;
  readonly callers: CallerSide;
  readonly random: Random;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  dispatch(node: WorldNode, event: ServingEvent): void;
}

/** Simulated network between nodes and engines: attempts, orders and probes, with latency, time-outs and late execution. */
export class SimulatedNetwork {
  /** Share of orders, 0 to 1, that time out and are executed seconds later. */
  lateOrderShare = 0;
  /** Prompt parts that crash an engine when it begins to answer a request with them. */
  readonly crashingPartIds = new Set<PromptPartId>();
  /** When requests with such a part arrived at engines. */
  readonly crashingArrivals: CrashingPartEvent[] = [];
  /** Whether a node can reach an engine; tests replace it to cut off single engines, which then don't respond. */
  isReachable: (node: NodeId, vmId: VmId) => boolean = () => true;
  /** Share of the requests, 0 to 1, that an engine refuses without running them; tests replace it. */
  refusalShareOf: (vmId: VmId) => number = () => 0;
  /** Requests per second that an engine asks for in its responses; undefined: no limit. Tests replace it. */
  limitPerSOf: (vmId: VmId) => number | undefined = () => undefined;
  /** Attempts that reached an engine, those that it refused included. */
  readonly arrivals: AttemptArrival[] = [];
  private readonly attempts = new Map<AttemptId, RunningAttempt>();
  private readonly cancelled = new Set<AttemptId>();
  private readonly pathFaults = new Map<NodeId, PathFault>();
  /** By `node/engine`. */
  private readonly engineFaults = new Map<string, PathFault>();
  /** When each node last had a complete response from each engine, by `node/engine`: its connection is kept for a while. */
  private readonly keptSinceMs = new Map<string, number>();

  constructor(private readonly options: NetworkOptions) {}

  /** Partitions nodes from all engines, until `heal`. */
  partition(nodes: readonly WorldNode[], fault: PathFault): void {
    for (const {state} of nodes) this.pathFaults.set(state.nodeId, fault);
    if (fault === 'refused') this.breakAttempts(nodes);
  }

  /** Partitions nodes from single engines, until `healEngines`. */
  partitionEngines(
    nodes: readonly WorldNode[],
    vmIds: readonly VmId[],
    fault: PathFault,
  ): void {
    for (const {state} of nodes) {
      for (const vmId of vmIds) {
        this.engineFaults.set(`${state.nodeId}/${vmId}`, fault);
      }
    }
    if (fault === 'refused') this.breakAttempts(nodes, vmIds);
  }

  healEngines(): void {
    this.engineFaults.clear();
  }

  /** Breaks the running attempts of nodes, or only those at the given engines. */
  private breakAttempts(
    nodes: readonly WorldNode[],
    vmIds?: readonly VmId[],
  ): void {
    for (const [attemptId, {node, vmId}] of [...this.attempts]) {
      if (!nodes.includes(node)) continue;
      if (vmIds && !vmIds.includes(vmId)) continue;
      this.cancelAttempt(attemptId);
      this.options.dispatch(node, {
        type: 'attemptFailed',
        attemptId,
        fault: 'broken',
      });
    }
  }

  heal(nodes: readonly WorldNode[]): void {
    for (const {state} of nodes) this.pathFaults.delete(state.nodeId);
  }

  /** What keeps a node from opening a connection to an engine; undefined: nothing. */
  private findFault(node: WorldNode, vmId: VmId): PathFault | undefined {
    const {nodeId} = node.state;
    const engine = this.options.engines.get(vmId);
    if (!engine?.isUp) return engine?.refusesConnections ? 'refused' : 'silent';
    if (!this.isReachable(nodeId, vmId)) return 'silent';
    return (
      this.engineFaults.get(`${nodeId}/${vmId}`) ?? this.pathFaults.get(nodeId)
    );
  }

  private hasKeptConnection(node: WorldNode, vmId: VmId): boolean {
    const sinceMs = this.keptSinceMs.get(`${node.state.nodeId}/${vmId}`);
    if (sinceMs === undefined || !this.options.engines.get(vmId)?.isUp) {
      return false;
    }
    return this.options.nowMs() - sinceMs < KEPT_CONNECTION_MS;
  }

  startAttempt(
    node: WorldNode,
    effect: Extract<ServingEffect, {type: 'startAttempt'}>,
  ): void {
    const {callers, engines, random, nowMs, after, dispatch} = this.options;
    const {attemptId, requestId, vmId} = effect;
    const call = callers.find(requestId);
    const engine = engines.get(vmId);
    if (!call || !engine) return;
    const fault = this.findFault(node, vmId);
    const isKept = this.hasKeptConnection(node, vmId);
    if (fault !== undefined && !isKept) {
      const delayMs =
        fault === 'silent' ? CONNECT_TIMEOUT_MS : 2 * NETWORK_LATENCY_MS;
      after(delayMs, () =>
        dispatch(node, {
          type: 'attemptFailed',
          attemptId,
          fault: 'not-sent',
        }),
      );
      return;
    }
    this.attempts.set(attemptId, {node, vmId});
    if (fault === 'silent') return;
    if (fault === 'refused') {
      after(NETWORK_LATENCY_MS, () =>
        dispatch(node, {type: 'attemptFailed', attemptId, fault: 'broken'}),
      );
      return;
    }
    if (!isKept) {
      after(2 * NETWORK_LATENCY_MS, () =>
        dispatch(node, {
          type: 'engineConnected',
          vmId,
          connectMs: 2 * NETWORK_LATENCY_MS,
        }),
      );
    }
    const {nodeId} = node.state;
    const isCut = () => this.pathFaults.get(nodeId) === 'silent';
    const report = (event: ServingEvent) => {
      if (isCut()) return;
      after(NETWORK_LATENCY_MS, () => dispatch(node, event));
    };
    // Another attempt may have gone on when this one's bytes reach the node.
    const deliver = (receive: () => void) =>
      after(NETWORK_LATENCY_MS, () => {
        if (this.cancelled.has(attemptId)) return;
        after(NETWORK_LATENCY_MS, receive);
      });
    const crashingPartId = call.request.sharedPartIds.find(partId =>
      this.crashingPartIds.has(partId),
    );
    if (crashingPartId !== undefined) {
      this.crashingArrivals.push({atMs: nowMs(), partId: crashingPartId});
    }
    const arrive = () => {
      this.arrivals.push({atMs: nowMs(), requestId, vmId});
      if (this.options.coldness.recordArrival(vmId)) {
        report({type: 'attemptFailed', attemptId, fault: 'broken'});
        return;
      }
      const refusalShare = this.refusalShareOf(vmId);
      if (refusalShare > 0 && random.next() < refusalShare) {
        report({type: 'attemptFailed', attemptId, fault: 'turned-away'});
        return;
      }
      engine.submit({
        crashingPartId,
        attemptId,
        urgency: effect.urgency,
        unreadTokens: call.request.promptTokens,
        eventsLeft: call.events - call.eventsReceived,
        hasStarted: false,
        onStart: () => {
          const limitPerS = this.limitPerSOf(vmId);
          const coldLeftMs = this.options.coldness.leftMs(vmId) || undefined;
          const isLimitOver =
            limitPerS === undefined &&
            findLimitPerS(node.state, vmId) !== undefined;
          const saysLimit = limitPerS !== undefined || isLimitOver;
          if (!saysLimit && coldLeftMs === undefined) return;
          report({
            type: 'engineAnnounced',
            vmId,
            isLeaving: false,
            limitPerS,
            isLimitOver,
            coldLeftMs,
          });
        },
        onEvent: () => {
          report({type: 'attemptProgress', attemptId, eventCount: 1});
          if (isCut()) return;
          deliver(() => callers.receiveEvent(requestId));
        },
        onEnd: () => {
          this.attempts.delete(attemptId);
          report({type: 'attemptEnded', attemptId, status: 200});
          if (isCut()) return;
          this.keptSinceMs.set(`${nodeId}/${vmId}`, nowMs());
          deliver(() => callers.end(requestId, 'whole'));
        },
        onFail: cause =>
          report({type: 'attemptFailed', attemptId, fault: cause}),
      });
    };
    after(NETWORK_LATENCY_MS, () => engine.whenRunning(arrive));
  }

  cancelAttempt(attemptId: AttemptId): void {
    this.cancelled.add(attemptId);
    const {engines, after} = this.options;
    const vmId = this.attempts.get(attemptId)?.vmId;
    if (vmId === undefined) return;
    this.attempts.delete(attemptId);
    after(NETWORK_LATENCY_MS, () => {
      const engine = engines.get(vmId);
      engine?.whenRunning(() => engine.cancel(attemptId));
    });
  }

  sendOrder(node: WorldNode, vmId: VmId, order: EngineOrder): void {
    const {engines, random, after, dispatch} = this.options;
    const reportOutcome = (
      outcome: Extract<ServingEvent, {type: 'orderAnswered'}>['outcome'],
    ) => dispatch(node, {type: 'orderAnswered', vmId, order, outcome});
    const engine = engines.get(vmId);
    const fault = this.findFault(node, vmId);
    if (fault === 'silent' || !engine?.isUp) {
      after(ORDER_TIMEOUT_MS, () => reportOutcome('unknown'));
      return;
    }
    if (fault !== undefined) {
      after(2 * NETWORK_LATENCY_MS, () => reportOutcome('refused'));
      return;
    }
    if (random.next() < this.lateOrderShare) {
      const delayMs =
        MIN_LATE_ORDER_DELAY_MS + random.nextInt(LATE_ORDER_JITTER_MS);
      const {bornAtMs} = engine.record;
      after(delayMs, () => {
        const isSameProcess = engine.record.bornAtMs === bornAtMs;
        if (engine.isUp && isSameProcess) engine.order(order);
      });
      after(ORDER_TIMEOUT_MS, () => reportOutcome('unknown'));
      return;
    }
    after(NETWORK_LATENCY_MS, () => {
      if (engine.isPaused) {
        engine.whenRunning(() => engine.order(order));
        after(ORDER_TIMEOUT_MS, () => reportOutcome('unknown'));
        return;
      }
      const outcome = engine.isUp ? engine.order(order) : undefined;
      after(NETWORK_LATENCY_MS, () => reportOutcome(outcome ?? 'unknown'));
    });
  }

  probe(
    node: WorldNode,
    {
      vmId,
      isForClose,
      isForSilence,
    }: Extract<ServingEffect, {type: 'probeEngine'}>,
  ): void {
    const {engines, after, dispatch} = this.options;
    const engine = engines.get(vmId);
    const fault = this.findFault(node, vmId);
    const isResponding =
      engine !== undefined && fault === undefined && !engine.isPaused;
    const isRefused = fault !== undefined && fault !== 'silent';
    const isAccepted = fault === undefined && engine?.isPaused;
    const isSilent = !isResponding && !isRefused;
    after(isSilent ? PROBE_TIMEOUT_MS : 2 * NETWORK_LATENCY_MS, () => {
      if (isResponding && engine.announcesLeaving) {
        dispatch(node, {type: 'engineAnnounced', vmId, isLeaving: true});
      }
      dispatch(node, {
        type: 'probeAnswered',
        vmId,
        outcome: isResponding
          ? 'answered'
          : isRefused
            ? 'refused'
            : isAccepted
              ? 'accepted'
              : 'silent',
        pace: isResponding ? engine.slowdownFactor : undefined,
        isForClose,
        isForSilence,
      });
    });
  }
}
