import type {Effect} from '../../src/core/effects/types.js';
import type {Incarnation} from '../../src/core/ids/index.js';
import type {EffectHandler, NodeContext} from '../../src/runtime/types.js';
import type {NodeState, Step} from '../../src/core/state/types.js';
import type {PlatformStore} from '../../src/core/store/types.js';
import type {Settings} from '../../src/settings/types.js';
import type {UndatedEvent} from '../../src/core/events/types.js';
import {AttemptRunner} from '../../src/targets/index.js';
import {CallerServer} from '../../src/callers/index.js';
import {EventLoop, MonotonicClock} from '../../src/runtime/index.js';
import {MemoryPlatform} from '../../src/standins/memory_platform.js';
import {StoreRunner} from '../../src/store/index.js';
import {TOKEN, seedConfig, seedTarget} from './seed_state.js';
import {callHttp} from './call_http.js';
import {LogRunner, createLogger} from '../../src/logging/index.js';
import {MetricRunner, createNodeMetrics} from '../../src/metrics/index.js';
import {createNodeState} from '../../src/core/state/index.js';
import {createTestSettings} from './create_test_settings.js';
import {reduce} from '../../src/core/reduce.js';

const TICK_MS = 50;

interface RequestNodeOptions {
  readonly limits?: Partial<Settings['limits']>;
  readonly timeoutMs?: number;
}

type CallOptions = NonNullable<Parameters<typeof callHttp>[1]>;

/** The caller server, the core and the target client of one node, with targets that the test sets. */
export class RequestNode {
  hasExited = false;
  readonly platform = new MemoryPlatform();
  private readonly callers: CallerServer;
  private readonly attempts: AttemptRunner;
  private readonly handlers: readonly EffectHandler[];
  private readonly timer: NodeJS.Timeout;

  private constructor(
    readonly state: NodeState,
    private readonly loop: EventLoop<NodeState, UndatedEvent, Effect>,
    private readonly context: NodeContext,
  ) {
    this.callers = new CallerServer(context);
    this.attempts = new AttemptRunner(context, this.callers);
    const store: PlatformStore = {
      call: operation =>
        new Promise(resolve => {
          this.platform.call(operation, context.clock.nowMs(), resolve);
        }),
      close: async () => {},
    };
    this.handlers = [
      this.callers,
      this.attempts,
      new StoreRunner(context, store),
      new LogRunner(context),
      new MetricRunner(context),
    ];
    for (const handler of this.handlers) loop.addHandler(handler);
    loop.addHandler({
      types: ['exit'],
      handle: () => (this.hasExited = true),
      close: async () => {},
      destroy: () => {},
    });
    this.timer = setInterval(() => loop.dispatch({type: 'tick'}), TICK_MS);
  }

  static async start(options: RequestNodeOptions = {}): Promise<RequestNode> {
    const defaults = await createTestSettings('node-a');
    const limits = {...defaults.limits, ...options.limits};
    const settings = {...defaults, limits};
    const incarnation = 'node-a/1' as Incarnation;
    const state = createNodeState({...settings.node, incarnation}, 1);
    seedConfig(state, options.timeoutMs);
    const clock = new MonotonicClock();
    const loop = new EventLoop<NodeState, UndatedEvent, Effect>({
      state,
      clock,
      reduce,
    });
    const node = new RequestNode(state, loop, {
      settings,
      clock,
      events: loop,
      state,
      logger: createLogger(settings),
      metrics: createNodeMetrics(),
    });
    await node.callers.listen();
    return node;
  }

  get url(): string {
    return `http://${this.context.settings.node.callerAddress}`;
  }

  addTarget(
    service: string,
    id: string,
    address: string,
    slots?: number,
  ): void {
    seedTarget(this.state, service, id, {address, ...(slots && {slots})});
  }

  /** Sends a request with the token of the test organisation. */
  call(path: string, options: CallOptions = {}): ReturnType<typeof callHttp> {
    const authorization = `Bearer ${TOKEN}`;
    const headers = {authorization, ...options.headers};
    return callHttp(this.url + path, {...options, headers});
  }

  /** Sends a streaming chat request. */
  chat(options: CallOptions = {}): ReturnType<typeof callHttp> {
    const messages = [{role: 'user', content: 'hello'}];
    const body = JSON.stringify({model: 'chat', stream: true, messages});
    return this.call('/v1/chat/completions', {body, ...options});
  }

  /** Sends an unrepeatable request, which may run at most once. */
  order(key: string, body = 'ten piñatas'): ReturnType<typeof callHttp> {
    const headers = {'idempotency-key': key};
    return this.call('/services/orders/new', {headers, body});
  }

  dispatch(event: UndatedEvent): void {
    this.loop.dispatch(event);
  }

  /** Applies a change to the state and runs its effects; queued requests start at the next event. */
  applyStep(change: (step: Step) => void): void {
    const step: Step = {
      state: this.state,
      nowMs: this.context.clock.nowMs(),
      effects: [],
    };
    change(step);
    for (const effect of step.effects) {
      const types = (one: EffectHandler) => one.types.includes(effect.type);
      this.handlers.find(types)?.handle(effect);
    }
  }

  /** Closes the caller server gracefully, as on exit. */
  closeCallers(): Promise<void> {
    return this.callers.close();
  }

  close(): void {
    clearInterval(this.timer);
    this.loop.stop();
    this.callers.destroy();
    this.attempts.destroy();
  }
}
