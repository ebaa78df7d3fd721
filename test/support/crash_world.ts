import type {
  AttemptId,
  Incarnation,
  NodeId,
  RequestId,
  ServiceName,
  VmId,
  ZoneId,
} from '../../src/core/ids/index.js';
import type {EffectOf} from '../../src/core/effects/types.js';
import type {ErrorBody} from '../../src/core/errors/index.js';
import type {UndatedEvent} from '../../src/core/events/types.js';
import type {VirtualNode} from '../../src/replay/index.js';
import {TOKEN_SHA256, seedConfig} from './seed_state.js';
import {
  VirtualNetwork,
  VirtualStore,
  VirtualWorld,
} from '../../src/replay/index.js';
import {createRandom} from '../../src/core/random/index.js';

const REPORT_MS = 500;
/** Time from the start of a crashing request until its engine fails. */
const CRASH_MS = 20;
const NODES = 3;
const TIMEOUT_MS = 60_000;
const WARM_UP_MS = 3000;

interface Engine {
  readonly vmId: VmId;
  boot: number;
  sequence: number;
  isUp: boolean;
  readonly running: Map<AttemptId, (event: UndatedEvent) => void>;
}

/** Nodes and application engines in virtual time; certain requests crash the engine that runs them. */
export class CrashWorld {
  readonly world = new VirtualWorld(1_000_000);
  /** The result of each request: an error, or `ran`. */
  readonly answers = new Map<RequestId, ErrorBody | 'ran'>();
  readonly engines: Engine[];
  lostEngineCount = 0;
  /** Time until a crashed engine restarts. */
  downMs = 2000;
  /** Mean duration of a request at an engine; it varies by half of this. */
  runMs = 300;
  private readonly bodies = new Map<RequestId, string>();
  private readonly random;
  private requestCounter = 0;

  constructor(seed: number, engineCount: number) {
    this.random = createRandom(seed);
    this.engines = Array.from({length: engineCount}, (_, at) => ({
      vmId: `vm-${at}` as VmId,
      boot: 1,
      sequence: 0,
      isUp: true,
      running: new Map(),
    }));
    this.world.addFake(new VirtualNetwork(this.world));
    const store = new VirtualStore(this.world);
    store.platform.setVms(
      this.engines.map(({vmId}) => ({
        vmId,
        kind: 'application',
        state: 'live',
        zone: 'a' as ZoneId,
        address: `${vmId}:1`,
        accelerators: 0,
        checksFencing: false,
        application: 'stock' as ServiceName,
      })),
    );
    this.world.addFake(store);
    this.world.addFake({
      types: ['startAttempt', 'cancelAttempt'],
      handle: (node, effect) => {
        if (effect.type === 'startAttempt') this.start(node, effect);
        if (effect.type === 'cancelAttempt') this.cancel(effect.attemptId);
      },
    });
    this.world.addFake({
      types: ['refuse', 'finishAnswer'],
      handle: (_node, effect) => {
        if (effect.type === 'finishAnswer') {
          this.answers.set(effect.requestId, 'ran');
        } else if (effect.type === 'refuse') {
          this.answers.set(effect.requestId, effect.refusal.body);
        }
      },
    });
    for (let at = 0; at < NODES; at++) this.addNode(at);
    this.report();
    this.runFor(WARM_UP_MS);
  }

  node(at: number): VirtualNode {
    return this.world.nodes.get(`n${at}` as NodeId)!;
  }

  /** Sends a request; a body that starts with `crash` crashes the engine that runs it. */
  send(
    at: number,
    body: string,
    prefixHashes: readonly string[] = [],
  ): RequestId {
    const requestId = `r${++this.requestCounter}` as RequestId;
    this.bodies.set(requestId, body);
    this.node(at).dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        tokenSha256: TOKEN_SHA256,
        service: 'stock',
        kind: 'application',
        promptTokens: 1,
        stream: false,
        deterministic: false,
        unrepeatable: false,
        bodyDigest: body,
        prefixHashes,
      },
    });
    return requestId;
  }

  runFor(ms: number): void {
    this.world.time.runUntil(this.world.time.nowMs + ms);
  }

  /** Resets all connections to an engine, whose process keeps running. */
  breakConnections(engine: Engine): void {
    for (const [attemptId, send] of engine.running) {
      const failure = {verdict: 'may-have-run', cause: 'reset'} as const;
      send({type: 'attemptFailed', attemptId, tokens: 0, failure});
    }
    engine.running.clear();
  }

  private addNode(at: number): void {
    const nodeId = `n${at}` as NodeId;
    const node = this.world.addNode(
      {
        nodeId,
        incarnation: `${nodeId}/1` as Incarnation,
        zone: 'a' as ZoneId,
        region: 'r',
        callerAddress: `${nodeId}:1`,
        controlAddress: `${nodeId}:2`,
        roles: {
          entry: true,
          relay: true,
          observer: true,
          broker: false,
          steward: false,
        },
      },
      at + 1,
    );
    seedConfig(node.state, TIMEOUT_MS);
    node.start();
  }

  private start(node: VirtualNode, effect: EffectOf<'startAttempt'>): void {
    const {address, attemptId, requestId} = effect;
    const engine = this.engines.find(one => address === `${one.vmId}:1`)!;
    const send = (event: UndatedEvent) =>
      this.schedule(1, () => node.dispatch(event));
    if (!engine.isUp) {
      const failure = {verdict: 'not-run', cause: 'connect-failed'} as const;
      send({type: 'attemptFailed', attemptId, tokens: 0, failure});
      return;
    }
    engine.running.set(attemptId, send);
    if (this.bodies.get(requestId)!.startsWith('crash')) {
      this.schedule(CRASH_MS, () => {
        if (engine.running.has(attemptId)) this.crash(engine);
      });
      return;
    }
    this.schedule(this.runMs * (0.5 + this.random.next()), () => {
      if (!engine.running.delete(attemptId)) return;
      send({type: 'attemptEnded', attemptId, status: 200, tokens: 0});
    });
  }

  private cancel(attemptId: AttemptId): void {
    for (const {running} of this.engines) running.delete(attemptId);
  }

  private crash(engine: Engine): void {
    this.lostEngineCount += 1;
    engine.isUp = false;
    this.breakConnections(engine);
    this.schedule(this.downMs, () => {
      engine.isUp = true;
      engine.boot += 1;
      engine.sequence = 0;
    });
  }

  private report(): void {
    for (const engine of this.engines) {
      if (!engine.isUp) continue;
      engine.sequence += 1;
      const report = {
        vmId: engine.vmId,
        bootId: `boot-${engine.boot}`,
        sequence: engine.sequence,
        state: 'ready',
        slots: 16,
        running: engine.running.size,
        queued: 0,
        tokensPerSecond: 100,
      } as const;
      for (const node of this.world.nodes.values()) {
        node.dispatch({type: 'targetReported', report, ageMs: 1});
      }
    }
    this.schedule(REPORT_MS, () => this.report());
  }

  private schedule(ms: number, run: () => void): void {
    this.world.time.after(ms, run);
  }
}
