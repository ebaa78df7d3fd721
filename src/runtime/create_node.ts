import {randomBytes, randomInt} from 'node:crypto';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler} from './effect_handler.js';
import type {Incarnation} from '../core/ids/index.js';
import type {NodeContext} from './node_context.js';
import type {NodeState} from '../core/state/types.js';
import type {PlatformStore} from '../core/store/types.js';
import type {RunningNode} from './running_node.js';
import type {Settings} from '../settings/types.js';
import type {UndatedEvent} from '../core/events/types.js';
import {AttemptRunner, OrderSender, ReportPoller} from '../targets/index.js';
import {CallerServer} from '../callers/index.js';
import {ControlServer} from '../control/index.js';
import {EventLoop} from './event_loop.js';
import {HttpPlatformStore, StoreRunner} from '../store/index.js';
import {LogRunner, createLogger} from '../logging/index.js';
import {
  MetricRunner,
  createNodeMetrics,
  resolveEventRole,
} from '../metrics/index.js';
import {MonotonicClock} from './monotonic_clock.js';
import {OperatorApi} from '../operators/index.js';
import {PeerClient, PeerServer} from '../peers/index.js';
import {createEventRecorder} from './create_event_recorder.js';
import {createNodeState} from '../core/state/index.js';
import {makeId} from '../core/ids/index.js';
import {reduce} from '../core/reduce.js';

const TICK_MS = 50;
const MAX_SEED = 2 ** 31;

interface NodeOptions {
  /** Replaces the store at the address in the settings. */
  readonly store?: PlatformStore;
  /** Seed of the core's random numbers; random by default. */
  readonly seed?: number;
}

/** Starts a node: opens its listeners, then starts the event loop. Rejects if a listener cannot be opened. */
export async function createNode(
  settings: Settings,
  options: NodeOptions = {},
): Promise<RunningNode> {
  const clock = new MonotonicClock();
  const seed = options.seed ?? randomInt(MAX_SEED);
  const state = createNodeState(
    {...settings.node, incarnation: makeIncarnation(settings.node.nodeId)},
    seed,
  );
  const recorder = createEventRecorder(settings, state.self, seed);
  const logger = createLogger(settings);
  const metrics = createNodeMetrics();
  const loop = new EventLoop<NodeState, UndatedEvent, Effect>({
    state,
    clock,
    reduce,
    record: recorder.record,
    measure: (event, elapsedMs) =>
      metrics.count('loopMs', elapsedMs, {role: resolveEventRole(event)}),
  });
  const context: NodeContext = {
    settings,
    clock,
    events: loop,
    state,
    logger,
    metrics,
  };
  const store =
    options.store ?? new HttpPlatformStore(settings.platform.address);
  const callers = new CallerServer(context);
  const operators = new OperatorApi(context);
  const peerServer = new PeerServer(context);
  const control = new ControlServer(context, {operators, peerServer});
  const exitHook: {exit: () => void} = {exit: () => {}};
  const handlers: EffectHandler[] = [
    callers,
    operators,
    peerServer,
    new PeerClient(context),
    new StoreRunner(context, store),
    new AttemptRunner(context, callers),
    new ReportPoller(context),
    new OrderSender(context),
    new LogRunner(context),
    new MetricRunner(context),
    createExitHandler(() => exitHook.exit()),
  ];
  for (const handler of handlers) {
    loop.addHandler(handler);
  }
  await control.listen();
  await callers.listen();
  loop.dispatch({type: 'started', seed});
  const timer = setInterval(() => loop.dispatch({type: 'tick'}), TICK_MS);

  let resolveEnded = () => {};
  const ended = new Promise<void>(resolve => (resolveEnded = resolve));
  const stop = () => {
    clearInterval(timer);
    loop.stop();
  };
  exitHook.exit = () => {
    stop();
    void closeSequentially([...handlers, control])
      .then(() => store.close())
      .then(() => recorder.close())
      .then(resolveEnded);
  };
  return {
    state,
    ended,
    drain: reason => loop.dispatch({type: 'drainRequested', reason}),
    destroy: () => {
      stop();
      for (const one of [...handlers, control]) one.destroy();
      void store.close();
      void recorder.close();
      resolveEnded();
    },
  };
}

function makeIncarnation(nodeId: string): Incarnation {
  return makeId<Incarnation>(`${nodeId}/${randomBytes(6).toString('hex')}`);
}

async function closeSequentially(
  parts: readonly {close(): Promise<void>}[],
): Promise<void> {
  for (const part of parts) {
    await part.close();
  }
}

function createExitHandler(exit: () => void): EffectHandler {
  return {
    types: ['exit'],
    handle: exit,
    close: async () => {},
    destroy: () => {},
  };
}
