import type {
  AttemptId,
  Incarnation,
  NodeId,
  RequestId,
  ZoneId,
} from '../../src/core/ids/index.js';
import type {Effect, EffectOf} from '../../src/core/effects/types.js';
import type {StoreOutcome} from '../../src/core/store/types.js';
import type {UndatedEvent} from '../../src/core/events/types.js';
import type {Verdict} from '../../src/core/verdict/index.js';
import type {VirtualNode} from '../../src/replay/index.js';
import {createPeer} from '../../src/replay/create_peer.js';
import {MemoryPlatform} from '../../src/standins/memory_platform.js';
import {TOKEN_SHA256, seedConfig, seedTarget} from './seed_state.js';
import {VirtualNetwork, VirtualWorld} from '../../src/replay/index.js';
import {createRandom} from '../../src/core/random/index.js';

const STEP_MS = 1;
const STORE_FAULTS = ['unavailable', 'late', 'lost', 'doubled'] as const;
const TARGET_FAULTS = [
  'refuses',
  'reset-before',
  'reset-after',
  'slow',
] as const;
type StoreFault = (typeof STORE_FAULTS)[number] | 'none';
type TargetFault = (typeof TARGET_FAULTS)[number] | 'none';

interface OnceFaults {
  /** Probability of a fault, in [0, 1], of store calls, attempts and messages. */
  readonly store: number;
  readonly target: number;
  readonly network: number;
}

interface Answer {
  readonly verdict: Verdict;
  readonly name: string;
  readonly body?: string;
  readonly retryAfterMs?: number;
}

/** Nodes, a store and an application that records its runs, in virtual time. */
export class OnceWorld {
  readonly world = new VirtualWorld(1_000_000);
  readonly platform = new MemoryPlatform();
  /** Requests that ran at the application, in order. */
  readonly runs: {key: string; requestId: RequestId}[] = [];
  /** Planned faults of the next store calls, in order; they precede random ones. */
  readonly storeFaults: StoreFault[] = [];
  /** Planned faults of the next attempts. */
  readonly targetFaults: TargetFault[] = [];
  /** Duration of a run at the application. */
  runMs = 10;
  /** Names of nodes that ended their own process. */
  readonly exited = new Set<string>();
  /** The response to each request. */
  readonly answers = new Map<RequestId, Answer>();
  private readonly keys = new Map<RequestId, string>();
  private readonly cancelled = new Set<AttemptId>();
  private readonly random;
  private requestCounter = 0;
  private incarnationCounter = 0;
  private isStoreDown = false;

  constructor(
    seed: number,
    readonly nodeCount: number,
    private readonly faults: OnceFaults = {store: 0, target: 0, network: 0},
  ) {
    this.random = createRandom(seed);
    const network = new VirtualNetwork(this.world);
    network.isUp = () => this.random.next() >= faults.network;
    this.world.addFake(network);
    this.world.addFake({
      types: ['store'],
      handle: (node, effect) =>
        this.callStore(node, effect as EffectOf<'store'>),
    });
    this.world.addFake({
      types: ['startAttempt', 'cancelAttempt'],
      handle: (node, effect) => this.attempt(node, effect),
    });
    this.world.addFake({
      types: ['exit'],
      handle: ({state}) => this.exited.add(state.self.nodeId),
    });
    this.world.addFake({
      types: ['refuse', 'answerKept', 'finishAnswer'],
      handle: (_node, effect) => this.answer(effect),
    });
    for (let at = 0; at < nodeCount; at++) this.startNode(at);
  }

  node(at: number): VirtualNode {
    return this.world.nodes.get(`n${at}` as NodeId)!;
  }

  /** Kills a node and starts its next incarnation. */
  restart(at: number): void {
    this.node(at).kill();
    this.startNode(at);
  }

  setStoreDown(isDown: boolean): void {
    this.isStoreDown = isDown;
  }

  /** Sends a request with an idempotency key to a node. */
  send(at: number, key: string, body = 'same'): RequestId {
    const requestId = `r${++this.requestCounter}` as RequestId;
    this.keys.set(requestId, key);
    this.node(at).dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        tokenSha256: TOKEN_SHA256,
        service: 'orders',
        kind: 'application',
        promptTokens: 1,
        stream: false,
        deterministic: false,
        unrepeatable: false,
        idempotencyKey: key,
        bodyDigest: `${key}-${body}`,
        prefixHashes: [],
      },
    });
    return requestId;
  }

  callerGone(at: number, requestId: RequestId): void {
    this.node(at).dispatch({type: 'callerGone', requestId});
  }

  runFor(ms: number): void {
    this.world.time.runUntil(this.world.time.nowMs + ms);
  }

  runsOf(key: string): number {
    return this.runs.filter(run => run.key === key).length;
  }

  /** Lists violations of at-most-once: keys that ran twice and verdicts that contradict the runs. */
  violations(): string[] {
    const violations: string[] = [];
    for (const key of new Set(this.keys.values())) {
      if (this.runsOf(key) > 1)
        violations.push(`${key} ran ${this.runsOf(key)} times`);
    }
    for (const [requestId, {verdict}] of this.answers) {
      const didRun = this.runs.some(run => run.requestId === requestId);
      const keyRan = this.runsOf(this.keys.get(requestId)!) > 0;
      if (verdict === 'not-run' && didRun) violations.push(`${requestId} ran`);
      if (verdict === 'ran' && !keyRan)
        violations.push(`${requestId} did not run`);
    }
    return violations;
  }

  private startNode(at: number): void {
    const nodeId = `n${at}` as NodeId;
    const incarnation = `${nodeId}/${++this.incarnationCounter}` as Incarnation;
    const node = this.world.addNode(
      {
        nodeId,
        incarnation,
        zone: 'a' as ZoneId,
        region: 'r',
        callerAddress: `${nodeId}:1`,
        controlAddress: `${nodeId}:2`,
        roles: {
          entry: true,
          relay: false,
          observer: false,
          broker: false,
          steward: false,
        },
      },
      this.incarnationCounter,
    );
    seedConfig(node.state);
    seedTarget(node.state, 'orders', 'app-1', {slots: 1});
    seedTarget(node.state, 'orders', 'app-2', {slots: 1});
    node.start();
    this.registerPeers();
  }

  /** Makes every node a peer of every other, with its current incarnation. */
  private registerPeers(): void {
    for (const node of this.world.nodes.values()) {
      for (const peer of this.world.nodes.values()) {
        if (peer === node) continue;
        const {nodeId, incarnation, zone} = peer.state.self;
        const known = createPeer({nodeId, incarnation, zone});
        node.state.membership.peers.set(nodeId, known);
      }
    }
  }

  private callStore(node: VirtualNode, call: EffectOf<'store'>): void {
    if (call.area !== 'once') return;
    const {area, operationId, operation, timeoutMs} = call;
    const send = (outcome: StoreOutcome) =>
      node.dispatch({type: 'storeResult', area, operationId, outcome});
    const fault = this.takeFault(this.storeFaults, STORE_FAULTS, 'store');
    if (this.isStoreDown || fault === 'unavailable') {
      this.schedule(1, () => send({kind: 'unavailable'}));
      return;
    }
    const hasNoAnswer = fault === 'late' || fault === 'lost';
    if (hasNoAnswer) this.schedule(timeoutMs, () => send({kind: 'unknown'}));
    const lateMs = timeoutMs * (1 + this.random.next());
    this.schedule(fault === 'late' ? lateMs : 1, () => {
      this.platform.call(operation, this.world.time.nowMs, outcome => {
        if (hasNoAnswer) return;
        this.schedule(this.random.nextInt(3), () => send(outcome));
        if (fault !== 'doubled') return;
        this.schedule(this.random.nextInt(2000), () => send(outcome));
      });
    });
  }

  private attempt(node: VirtualNode, effect: Effect): void {
    if (effect.type === 'cancelAttempt') this.cancelled.add(effect.attemptId);
    if (effect.type !== 'startAttempt') return;
    const {attemptId, requestId} = effect;
    const send = (event: UndatedEvent) => {
      node.dispatch(event);
      if (this.random.next() >= this.faults.target) return;
      this.schedule(this.random.nextInt(500), () => node.dispatch(event));
    };
    const fail = (verdict: Verdict, cause: 'reset' | 'target-refused') => {
      const failure = {verdict, cause};
      send({type: 'attemptFailed', attemptId, tokens: 0, failure});
    };
    const fault = this.takeFault(this.targetFaults, TARGET_FAULTS, 'target');
    this.schedule(1 + this.random.nextInt(20), () => {
      if (fault === 'refuses') return fail('not-run', 'target-refused');
      if (fault === 'reset-before') return fail('may-have-run', 'reset');
      if (this.cancelled.has(attemptId)) return undefined;
      this.runs.push({key: this.keys.get(requestId)!, requestId});
      if (fault === 'reset-after') return fail('may-have-run', 'reset');
      const slowMs = fault === 'slow' ? this.random.nextInt(5000) : this.runMs;
      this.schedule(slowMs, () => {
        if (this.cancelled.has(attemptId)) return;
        const answer = {contentType: 'text/plain', body: 'done'};
        send({type: 'attemptEnded', attemptId, status: 200, tokens: 0, answer});
      });
      return undefined;
    });
  }

  /** Returns the next planned fault, otherwise a random one or none. */
  private takeFault<T extends string>(
    planned: T[],
    all: readonly T[],
    kind: 'store' | 'target',
  ): T | undefined {
    const next = planned.shift();
    if (next !== undefined) return next;
    if (this.random.next() >= this.faults[kind]) return undefined;
    return all[this.random.nextInt(all.length)];
  }

  private answer(effect: Effect): void {
    if (effect.type === 'refuse') {
      const {verdict, name, retryAfterMs} = effect.refusal.body;
      this.recordAnswer(effect.requestId, {
        verdict,
        name,
        ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
      });
    } else if (effect.type === 'answerKept') {
      const {requestId, body} = effect;
      this.recordAnswer(requestId, {verdict: 'ran', name: 'kept', body});
    } else if (effect.type === 'finishAnswer') {
      this.recordAnswer(effect.requestId, {verdict: 'ran', name: 'finished'});
    }
  }

  private recordAnswer(requestId: RequestId, answer: Answer): void {
    if (this.answers.has(requestId)) {
      throw new Error(`${requestId} was answered twice`);
    }
    this.answers.set(requestId, answer);
  }

  private schedule(ms: number, run: () => void): void {
    this.world.time.after(Math.max(STEP_MS, ms), run);
  }
}
