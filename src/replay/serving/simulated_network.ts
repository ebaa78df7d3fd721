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
import type {SimulatedCallers} from './simulated_callers.js';
import {findLimitPerS} from '../../core/serving/index.js';
import type {AttemptArrival, CrashingPartEvent, WorldNode} from './types.js';

const NETWORK_LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 300;
const PROBE_TIMEOUT_MS = 250;
const ORDER_TIMEOUT_MS = 600;
/** Minimum delay of an order that is executed late, and the range of the random delay added to it. */
const MIN_LATE_ORDER_DELAY_MS = 2000;
const LATE_ORDER_JITTER_MS = 10_000;

interface NetworkOptions {
  readonly engines: ReadonlyMap<VmId, ServingEngine>;
  readonly callers: SimulatedCallers;
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
  /** Whether a node can reach an engine; tests replace it to simulate partitions. */
  isReachable: (node: NodeId, vmId: VmId) => boolean = () => true;
  /** Share of the requests, 0 to 1, that an engine refuses without running them; tests replace it. */
  refusalShareOf: (vmId: VmId) => number = () => 0;
  /** Requests per second that an engine asks for in its responses; undefined: no limit. Tests replace it. */
  limitPerSOf: (vmId: VmId) => number | undefined = () => undefined;
  /** Attempts that reached an engine, those that it refused included. */
  readonly arrivals: AttemptArrival[] = [];
  private readonly attempts = new Map<AttemptId, VmId>();

  constructor(private readonly options: NetworkOptions) {}

  startAttempt(
    node: WorldNode,
    effect: Extract<ServingEffect, {type: 'startAttempt'}>,
  ): void {
    const {callers, engines, random, nowMs, after, dispatch} = this.options;
    const {attemptId, requestId, vmId} = effect;
    const call = callers.find(requestId);
    const engine = engines.get(vmId);
    if (!call || !engine) return;
    this.attempts.set(attemptId, vmId);
    if (!engine.isUp || !this.isReachable(node.state.nodeId, vmId)) {
      const {refusesConnections} = engine;
      const delayMs = refusesConnections
        ? 2 * NETWORK_LATENCY_MS
        : CONNECT_TIMEOUT_MS;
      after(delayMs, () =>
        dispatch(node, {
          type: 'attemptFailed',
          attemptId,
          fault: 'not-sent',
        }),
      );
      return;
    }
    const report = (event: ServingEvent) =>
      after(NETWORK_LATENCY_MS, () => dispatch(node, event));
    const crashingPartId = call.request.sharedPartIds.find(partId =>
      this.crashingPartIds.has(partId),
    );
    if (crashingPartId !== undefined) {
      this.crashingArrivals.push({atMs: nowMs(), partId: crashingPartId});
    }
    after(NETWORK_LATENCY_MS, () => {
      this.arrivals.push({atMs: nowMs(), requestId, vmId});
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
          const isLimitOver =
            limitPerS === undefined &&
            findLimitPerS(node.state, vmId) !== undefined;
          if (limitPerS === undefined && !isLimitOver) return;
          report({
            type: 'engineAnnounced',
            vmId,
            isLeaving: false,
            limitPerS,
            isLimitOver,
          });
        },
        onEvent: () => {
          report({type: 'attemptProgress', attemptId, eventCount: 1});
          after(2 * NETWORK_LATENCY_MS, () => callers.receiveEvent(requestId));
        },
        onEnd: () => {
          report({type: 'attemptEnded', attemptId, status: 200});
          after(2 * NETWORK_LATENCY_MS, () => callers.end(requestId, 'whole'));
        },
        onFail: fault => report({type: 'attemptFailed', attemptId, fault}),
      });
    });
  }

  cancelAttempt(attemptId: AttemptId): void {
    const {engines, after} = this.options;
    const vmId = this.attempts.get(attemptId);
    if (vmId === undefined) return;
    after(NETWORK_LATENCY_MS, () => engines.get(vmId)?.cancel(attemptId));
  }

  sendOrder(node: WorldNode, vmId: VmId, order: EngineOrder): void {
    const {engines, random, after, dispatch} = this.options;
    const reportOutcome = (
      outcome: Extract<ServingEvent, {type: 'orderAnswered'}>['outcome'],
    ) => dispatch(node, {type: 'orderAnswered', vmId, order, outcome});
    const engine = engines.get(vmId);
    if (!engine?.isUp || !this.isReachable(node.state.nodeId, vmId)) {
      after(ORDER_TIMEOUT_MS, () => reportOutcome('unknown'));
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
      const outcome = engine.isUp ? engine.order(order) : undefined;
      after(NETWORK_LATENCY_MS, () => reportOutcome(outcome ?? 'unknown'));
    });
  }

  probe(node: WorldNode, vmId: VmId): void {
    const {engines, after, dispatch} = this.options;
    const engine = engines.get(vmId);
    const isResponding =
      engine?.isUp === true && this.isReachable(node.state.nodeId, vmId);
    const isRefused = engine?.refusesConnections === true;
    const isAnswered = isResponding || isRefused;
    after(isAnswered ? 2 * NETWORK_LATENCY_MS : PROBE_TIMEOUT_MS, () => {
      if (isResponding && engine.announcesLeaving) {
        dispatch(node, {type: 'engineAnnounced', vmId, isLeaving: true});
      }
      dispatch(node, {
        type: 'probeAnswered',
        vmId,
        outcome: isResponding ? 'answered' : isRefused ? 'refused' : 'silent',
        pace: isResponding ? engine.slowdownFactor : undefined,
      });
    });
  }
}
