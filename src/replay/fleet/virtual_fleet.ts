import type {Effect, EffectOf} from '../../core/effects/types.js';
import type {AttemptFailure} from '../../core/requests/types.js';
import type {AttemptId, VmId} from '../../core/ids/index.js';
import type {OrderArrival} from './order_arrival.js';
import type {VirtualFake} from '../virtual_fake.js';
import type {VirtualNode} from '../virtual_node.js';
import type {VirtualWorld} from '../virtual_world.js';
import type {VmRecord} from '../../core/store/types.js';
import {FleetEngine} from './fleet_engine.js';

interface FleetOptions {
  readonly loadMs: number;
  readonly tokensPerSecond: number;
  /** Time that each response takes. */
  readonly answerMs: number;
}

interface NodePolls {
  wanted: EffectOf<'setPolls'>;
  readonly running: Set<VmId>;
}

interface LiveAttempt {
  readonly node: VirtualNode;
  readonly engine: FleetEngine;
  readonly attemptId: AttemptId;
  leftMs: number;
}

const LATENCY_MS = 1;
const POLL_TIMEOUT_MS = 1000;
const STALL_STEP_MS = 50;

/** The engines of a deployment in virtual time: handles polls for reports, orders and requests. */
export class VirtualFleet implements VirtualFake {
  readonly types = [
    'setPolls',
    'sendOrder',
    'startAttempt',
    'cancelAttempt',
  ] as const;
  readonly engines = new Map<VmId, FleetEngine>();
  /** Delay before an order arrives; beyond its time-out the sender gets outcome `unknown`. */
  orderDelayMs: (node: VirtualNode, order: EffectOf<'sendOrder'>) => number =
    () => LATENCY_MS;
  /** Whether a node can currently reach an engine. */
  isUp: (node: VirtualNode, vmId: VmId) => boolean = () => true;
  /** Called for each order that a node sends. */
  onSend: (node: VirtualNode, order: EffectOf<'sendOrder'>) => void = () => {};
  /** Called for each order that an engine carried out or refused. */
  onOrder: (arrival: OrderArrival) => void = () => {};
  /** Called for each order that was not delivered, because the engine was down or unreachable. */
  onUnreachable: (order: EffectOf<'sendOrder'>) => void = () => {};
  /** Called for each request that an engine starts. */
  onStart: (engine: FleetEngine) => void = () => {};
  orders = 0;
  /** Number of weight loads over all engines. */
  loads = 0;
  polls = 0;
  private readonly pollsByNode = new Map<VirtualNode, NodePolls>();
  private readonly attempts = new Map<AttemptId, LiveAttempt>();
  /** Attempts cancelled before they reached an engine. */
  private readonly cancelled = new Set<AttemptId>();

  constructor(
    private readonly world: VirtualWorld,
    private readonly options: FleetOptions,
  ) {}

  /** Adds a VM with an unassigned engine. */
  addEngine(record: VmRecord): FleetEngine {
    const engine = new FleetEngine(record, this.world.time, this.options);
    engine.onLoad = () => (this.loads += 1);
    engine.onUnload = attempts => {
      for (const id of attempts) this.failAttempt(id as AttemptId, 'reset');
    };
    this.engines.set(record.vmId, engine);
    return engine;
  }

  handle(node: VirtualNode, effect: Effect): void {
    if (effect.type === 'setPolls') this.setPolls(node, effect);
    if (effect.type === 'sendOrder') this.sendOrder(node, effect);
    if (effect.type === 'startAttempt') this.startAttempt(node, effect);
    if (effect.type === 'cancelAttempt') {
      if (!this.attempts.has(effect.attemptId)) {
        this.cancelled.add(effect.attemptId);
      }
      this.cancelAttempt(effect.attemptId);
    }
  }

  /** Whether all engines of a leader's replica are ready with the same assignment. */
  isFormed(leader: FleetEngine): boolean {
    const {assignment} = leader;
    if (!leader.isReady || !assignment) return false;
    return assignment.vms.every(vmId => {
      const engine = this.engines.get(vmId);
      return (
        engine?.condition === 'alive' &&
        engine.isReady &&
        engine.assignment?.replicaId === assignment.replicaId &&
        engine.assignment.generation === assignment.generation &&
        engine.assignment.fencingToken === assignment.fencingToken
      );
    });
  }

  private setPolls(node: VirtualNode, effect: EffectOf<'setPolls'>): void {
    const polls = this.pollsByNode.get(node) ?? {
      wanted: effect,
      running: new Set(),
    };
    polls.wanted = effect;
    this.pollsByNode.set(node, polls);
    for (const {vmId} of effect.polls) {
      if (polls.running.has(vmId)) continue;
      polls.running.add(vmId);
      this.poll(node, polls, vmId);
    }
  }

  private poll(node: VirtualNode, polls: NodePolls, vmId: VmId): void {
    const isWanted = polls.wanted.polls.some(one => one.vmId === vmId);
    if (!isWanted || !node.isAlive) {
      polls.running.delete(vmId);
      return;
    }
    const {time} = this.world;
    const pollAgain = () => this.poll(node, polls, vmId);
    time.after(polls.wanted.intervalMs, pollAgain);
    if (!node.isRunning) return;
    this.polls += 1;
    const sentAtMs = time.nowMs;
    let isSettled = false;
    const finish = (answer: () => void) => {
      if (!isSettled) answer();
      isSettled = true;
    };
    time.after(POLL_TIMEOUT_MS, () => {
      const type = 'targetReportFailed';
      finish(() => node.dispatch({type, vmId}));
    });
    const engine = this.engines.get(vmId);
    if (!this.isUp(node, vmId) || !engine) return;
    if (engine.condition === 'dead') {
      time.after(2 * LATENCY_MS, () => {
        const type = 'targetReportFailed';
        finish(() => node.dispatch({type, vmId, refused: true}));
      });
      return;
    }
    time.after(LATENCY_MS, () => {
      engine.deliver(() => {
        const report = engine.report();
        time.after(LATENCY_MS, () => {
          const ageMs = time.nowMs - sentAtMs;
          const type = 'targetReported';
          // A frozen node would read the report only after the thaw, when it is too old to be used.
          if (!node.isRunning) return;
          finish(() => node.dispatch({type, report, ageMs}));
        });
      });
    });
  }

  private sendOrder(node: VirtualNode, order: EffectOf<'sendOrder'>): void {
    const {time} = this.world;
    const {orderId, vmId, timeoutMs} = order;
    this.orders += 1;
    this.onSend(node, order);
    let isSettled = false;
    const finish = (outcome: 'done' | 'fenced' | 'unknown' | 'unreachable') => {
      if (isSettled) return;
      isSettled = true;
      node.dispatch({type: 'orderResult', orderId, outcome});
    };
    const engine = this.engines.get(vmId);
    if (!engine || engine.condition === 'dead' || !this.isUp(node, vmId)) {
      this.onUnreachable(order);
      time.after(LATENCY_MS, () => finish('unreachable'));
      return;
    }
    time.after(timeoutMs, () => finish('unknown'));
    time.after(this.orderDelayMs(node, order), () => {
      engine.deliver(() => {
        const before = engine.assignment;
        const outcome = engine.processOrder(order);
        this.onOrder({engine, order, node, outcome, before});
        time.after(LATENCY_MS, () => finish(outcome));
      });
    });
  }

  private startAttempt(
    node: VirtualNode,
    effect: EffectOf<'startAttempt'>,
  ): void {
    const {attemptId, address} = effect;
    const engine = [...this.engines.values()].find(
      one => one.record.address === address,
    );
    this.world.time.after(LATENCY_MS, () => {
      if (!engine || engine.condition === 'dead') {
        this.refuseAttempt(node, attemptId, 'connect-failed');
        return;
      }
      engine.deliver(() => this.runAttempt(node, engine, attemptId));
    });
  }

  private runAttempt(
    node: VirtualNode,
    engine: FleetEngine,
    attemptId: AttemptId,
  ): void {
    if (this.cancelled.delete(attemptId)) return;
    const isLeader = engine.assignment?.leader === engine.record.vmId;
    if (engine.isLeaving) {
      this.refuseAttempt(node, attemptId, 'target-leaving');
    } else if (engine.phase !== 'ready' || !isLeader) {
      this.refuseAttempt(node, attemptId, 'target-refused');
    } else {
      this.onStart(engine);
      engine.running.add(attemptId);
      const leftMs = this.options.answerMs;
      const live = {node, engine, attemptId, leftMs};
      this.attempts.set(attemptId, live);
      this.proceed(live);
    }
  }

  /** Advances an attempt, but only while the complete replica is up. */
  private proceed(live: LiveAttempt): void {
    this.world.time.after(STALL_STEP_MS, () => {
      const {node, engine, attemptId} = live;
      if (this.attempts.get(attemptId) !== live) return;
      if (this.isFormed(engine)) live.leftMs -= STALL_STEP_MS;
      if (live.leftMs > 0) {
        this.proceed(live);
        return;
      }
      this.cancelAttempt(attemptId);
      const tokens = 1;
      const status = 200;
      node.dispatch({type: 'attemptEnded', attemptId, status, tokens});
    });
  }

  private cancelAttempt(attemptId: AttemptId): void {
    const live = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    live?.engine.running.delete(attemptId);
  }

  private failAttempt(
    attemptId: AttemptId,
    cause: AttemptFailure['cause'],
  ): void {
    const live = this.attempts.get(attemptId);
    this.cancelAttempt(attemptId);
    if (!live) return;
    const failure = {verdict: 'may-have-run', cause} as const;
    const event = {
      type: 'attemptFailed',
      attemptId,
      tokens: 0,
      failure,
    } as const;
    live.node.dispatch(event);
  }

  private refuseAttempt(
    node: VirtualNode,
    attemptId: AttemptId,
    cause: AttemptFailure['cause'],
  ): void {
    const failure = {verdict: 'not-run', cause} as const;
    node.dispatch({type: 'attemptFailed', attemptId, tokens: 0, failure});
  }
}
