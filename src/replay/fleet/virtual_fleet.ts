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
  /** Length of each answer. */
  readonly answerMs: number;
}

interface Polls {
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

/** The engines of a deployment in virtual time: reports, orders, requests. */
export class VirtualFleet implements VirtualFake {
  readonly types = [
    'setPolls',
    'sendOrder',
    'startAttempt',
    'cancelAttempt',
  ] as const;
  readonly engines = new Map<VmId, FleetEngine>();
  /** Time that an order takes to arrive; past its time-out the sender learns nothing. */
  orderDelayMs: (node: VirtualNode, order: EffectOf<'sendOrder'>) => number =
    () => LATENCY_MS;
  /** Whether a node reaches an engine now. */
  isUp: (node: VirtualNode, vmId: VmId) => boolean = () => true;
  /** Sees each order as a node sends it. */
  onSend: (node: VirtualNode, order: EffectOf<'sendOrder'>) => void = () => {};
  /** Sees each order after an engine carried it out, or refused it. */
  onOrder: (arrival: OrderArrival) => void = () => {};
  /** Sees each request as an engine takes it. */
  onStart: (engine: FleetEngine) => void = () => {};
  orders = 0;
  /** Times that engines loaded weights. */
  loads = 0;
  polls = 0;
  private readonly pollsOf = new Map<VirtualNode, Polls>();
  private readonly attempts = new Map<AttemptId, LiveAttempt>();
  /** Cancelled on their way to an engine. */
  private readonly cancelled = new Set<AttemptId>();

  constructor(
    private readonly world: VirtualWorld,
    private readonly options: FleetOptions,
  ) {}

  /** Adds a VM with an empty engine. */
  addEngine(record: VmRecord): FleetEngine {
    const engine = new FleetEngine(record, this.world.time, this.options);
    engine.onLoad = () => (this.loads += 1);
    engine.onUnload = attempts => {
      for (const id of attempts) this.fail(id as AttemptId, 'reset');
    };
    this.engines.set(record.vmId, engine);
    return engine;
  }

  handle(node: VirtualNode, effect: Effect): void {
    if (effect.type === 'setPolls') this.setPolls(node, effect);
    if (effect.type === 'sendOrder') this.sendOrder(node, effect);
    if (effect.type === 'startAttempt') this.start(node, effect);
    if (effect.type === 'cancelAttempt') {
      if (!this.attempts.has(effect.attemptId)) {
        this.cancelled.add(effect.attemptId);
      }
      this.cancel(effect.attemptId);
    }
  }

  /** Whether all engines of a leader's assignment are up and say the same. */
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
    const polls = this.pollsOf.get(node) ?? {
      wanted: effect,
      running: new Set(),
    };
    polls.wanted = effect;
    this.pollsOf.set(node, polls);
    for (const {vmId} of effect.polls) {
      if (polls.running.has(vmId)) continue;
      polls.running.add(vmId);
      this.poll(node, polls, vmId);
    }
  }

  private poll(node: VirtualNode, polls: Polls, vmId: VmId): void {
    const isWanted = polls.wanted.polls.some(one => one.vmId === vmId);
    if (!isWanted || !node.isAlive) {
      polls.running.delete(vmId);
      return;
    }
    const {time} = this.world;
    const again = () => this.poll(node, polls, vmId);
    time.after(polls.wanted.intervalMs, again);
    if (!node.isRunning) return;
    this.polls += 1;
    const sentAtMs = time.nowMs;
    let isOver = false;
    const finish = (answer: () => void) => {
      if (!isOver) answer();
      isOver = true;
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
          // A frozen node reads the answer later, when it is too old to count.
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
    let isOver = false;
    const finish = (outcome: 'done' | 'fenced' | 'unknown' | 'unreachable') => {
      if (isOver) return;
      isOver = true;
      node.dispatch({type: 'orderResult', orderId, outcome});
    };
    const engine = this.engines.get(vmId);
    if (!engine || engine.condition === 'dead' || !this.isUp(node, vmId)) {
      time.after(LATENCY_MS, () => finish('unreachable'));
      return;
    }
    time.after(timeoutMs, () => finish('unknown'));
    time.after(this.orderDelayMs(node, order), () => {
      engine.deliver(() => {
        const before = engine.assignment;
        const outcome = engine.take(order);
        this.onOrder({engine, order, node, outcome, before});
        time.after(LATENCY_MS, () => finish(outcome));
      });
    });
  }

  private start(node: VirtualNode, effect: EffectOf<'startAttempt'>): void {
    const {attemptId, address} = effect;
    const engine = [...this.engines.values()].find(
      one => one.record.address === address,
    );
    this.world.time.after(LATENCY_MS, () => {
      if (!engine || engine.condition === 'dead') {
        this.refuse(node, attemptId, 'connect-failed');
        return;
      }
      engine.deliver(() => this.run(node, engine, attemptId));
    });
  }

  private run(
    node: VirtualNode,
    engine: FleetEngine,
    attemptId: AttemptId,
  ): void {
    if (this.cancelled.delete(attemptId)) return;
    const isLeader = engine.assignment?.leader === engine.record.vmId;
    if (engine.isLeaving) {
      this.refuse(node, attemptId, 'target-leaving');
    } else if (engine.phase !== 'ready' || !isLeader) {
      this.refuse(node, attemptId, 'target-refused');
    } else {
      this.onStart(engine);
      engine.running.add(attemptId);
      const leftMs = this.options.answerMs;
      const live = {node, engine, attemptId, leftMs};
      this.attempts.set(attemptId, live);
      this.proceed(live);
    }
  }

  /** Answers proceed only while the whole replica is up. */
  private proceed(live: LiveAttempt): void {
    this.world.time.after(STALL_STEP_MS, () => {
      const {node, engine, attemptId} = live;
      if (this.attempts.get(attemptId) !== live) return;
      if (this.isFormed(engine)) live.leftMs -= STALL_STEP_MS;
      if (live.leftMs > 0) {
        this.proceed(live);
        return;
      }
      this.cancel(attemptId);
      const tokens = 1;
      const status = 200;
      node.dispatch({type: 'attemptEnded', attemptId, status, tokens});
    });
  }

  private cancel(attemptId: AttemptId): void {
    const live = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    live?.engine.running.delete(attemptId);
  }

  private fail(attemptId: AttemptId, cause: AttemptFailure['cause']): void {
    const live = this.attempts.get(attemptId);
    this.cancel(attemptId);
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

  private refuse(
    node: VirtualNode,
    attemptId: AttemptId,
    cause: AttemptFailure['cause'],
  ): void {
    const failure = {verdict: 'not-run', cause} as const;
    node.dispatch({type: 'attemptFailed', attemptId, tokens: 0, failure});
  }
}
