import {randomInt} from 'node:crypto';
import type {PlatformStore} from '../core/store/types.js';
import type {
  ConfigCache,
  PlatformWire,
  ServingContext,
  ServingSettings,
} from './types.js';
import type {Logger} from '../logging/types.js';
import type {
  ServingEffect,
  ServingEvent,
  ServingState,
} from '../core/serving/types.js';
import {AttemptClient} from './attempt_client.js';
import {CatchUp} from './catch_up.js';
import {ConnectionTable} from './clients/connection_table.js';
import {LimitLog} from './clients/limit_log.js';
import {createListenerLimits} from './clients/create_listener_limits.js';
import {SuspendAwareClock} from '../runtime/suspend_aware_clock.js';
import {PeerSync} from './peer_sync.js';
import {CountedStore} from './counted_store.js';
import {DocumentServer} from './document_server.js';
import {DirectoryServer} from './directory_server.js';
import {EventLoop} from '../runtime/event_loop.js';
import {FrontServer} from './front_server.js';
import {MetricsServer} from './metrics_server.js';
import {NodeRegistry} from './node_registry.js';
import {OrderClient} from './order_client.js';
import {SettledEra} from './settled_era.js';
import {SharedTimer} from './shared_timer.js';
import {PeerExchange} from './peer_exchange.js';
import {StatusServer} from './status_server.js';
import type {StoreWatch} from './store_watch.js';
import {StewardLease} from './steward_lease.js';
import {createNodeMetrics} from '../metrics/create_node_metrics.js';
import {
  createServingState,
  isIdle,
  needsFleetWatch,
  reduceServing,
} from '../core/serving/index.js';
import {watchConfig} from './watch_config.js';
import {watchFleet} from './watch_fleet.js';

/** Interval at which time-dependent decisions are evaluated; one batch pass of a target takes about as long. */
const TICK_MS = 50;
/** Interval at which idle connections to removed engines are closed. */
const SWEEP_INTERVAL_MS = 2000;
/** Interval of the checks of clients' connections. */
const CLIENT_SWEEP_INTERVAL_MS = 500;
const MAX_SEED = 2 ** 31;
/** Time after SIGTERM until new connections are refused; callers have switched to other nodes by then. */
const STOP_LISTENING_DELAY_MS = 3000;

interface ServingNodeOptions {
  readonly settings: ServingSettings;
  readonly wire: PlatformWire;
  readonly store: PlatformStore;
  readonly logger: Logger;
  /** Seed of the random generator; random by default. */
  readonly seed?: number;
}

/** Handle of a serving node that runs in this process. */
interface ServingNode {
  /** Read only; the event loop alone changes it. */
  readonly state: ServingState;
  /** Settles when the shutdown started by `leave` is complete. */
  readonly ended: Promise<void>;
  /** Starts a graceful shutdown: requests in progress run to their end. */
  leave(): void;
  /** Closes everything at once without draining, like a crash. */
  destroy(): Promise<void>;
}

/** Starts a node that serves callers, with configuration and engines from the platform's store. Rejects when a listener can't be opened. */
export async function createServingNode(
  options: ServingNodeOptions,
): Promise<ServingNode> {
  const {settings, wire, logger} = options;
  const clock = new SuspendAwareClock();
  const state = createServingState(
    {
      nodeId: settings.nodeId,
      zone: settings.zone,
      callerAddress: settings.listen.callers,
      peerAddress: settings.listen.peers,
      coreCount: settings.coreCount,
      isFirstStart: settings.isFirstStart,
    },
    settings.bounds,
    options.seed ?? randomInt(MAX_SEED),
  );
  const events = new EventLoop<ServingState, ServingEvent, ServingEffect>({
    state,
    clock,
    reduce: reduceServing,
    record: ({nowMs}) => catchUp.check(nowMs),
    onError: (error, {type}, effectType) =>
      logger.write('error', 'process', 'event failed', {
        event: type,
        effect: effectType,
        error: describeError(error),
      }),
  });
  const catchUp = new CatchUp(clock, lateMs =>
    events.dispatch({type: 'resumed', lateMs}),
  );
  const metrics = createNodeMetrics();
  const store = new CountedStore(options.store, clock, metrics, logger, {
    regained: lostMs => events.dispatch({type: 'storeRegained', lostMs}),
    era: era => events.dispatch({type: 'storeEraRead', era}),
  });
  const sharedTimer = new SharedTimer(
    clock,
    () => isIdle(state),
    error =>
      logger.write('error', 'process', 'timed task failed', {
        error: describeError(error),
      }),
    catchUp,
  );
  const limits = settings.clientLimits ?? createListenerLimits();
  const limitLog = new LimitLog(metrics, logger);
  const connections = new ConnectionTable(limits, clock, limitLog);
  const context: ServingContext = {
    clients: {limits, connections, limitLog, clock},
    settings,
    wire,
    store,
    clock,
    events,
    state,
    logger,
    metrics,
    sharedTimer,
    catchUp,
  };
  const front = new FrontServer(context);
  const attempts = new AttemptClient(context, front);
  const orders = new OrderClient(context);
  const status = new StatusServer(context);
  const directory = new DirectoryServer(context);
  const metricsServer = new MetricsServer(context);
  const registry = new NodeRegistry(context);
  const peers = new PeerExchange(context);
  const configCache: ConfigCache = {version: -1};
  const documents = new DocumentServer(context, configCache);
  const steward = new StewardLease(context);
  const settledEra = new SettledEra(context);
  const configWatch = watchConfig(context, configCache);
  const fleetWatch = watchFleet(context);
  const watches = [configWatch, fleetWatch];
  const peerSync = new PeerSync(context, configWatch, configCache);
  for (const handler of [front, attempts, orders, peers, settledEra])
    events.addHandler(handler);
  events.addHandler(createTelemetryHandler(context));
  events.addHandler(createRelistHandler(context, fleetWatch));
  let settle = () => {};
  const ended = new Promise<void>(resolve => (settle = resolve));
  await Promise.all([
    front.listen(),
    status.listen(),
    directory.listen(),
    peers.listen(),
    documents.listen(),
    metricsServer.listen(),
  ]);
  settledEra.start();
  for (const watch of watches) watch.start();
  registry.start();
  peers.start();
  steward.start();
  peerSync.start();
  sharedTimer.runEvery(TICK_MS, () => events.dispatch({type: 'tick'}));
  sharedTimer.runEvery(SWEEP_INTERVAL_MS, () => attempts.sweep());
  sharedTimer.runEvery(CLIENT_SWEEP_INTERVAL_MS, () => {
    front.sweep();
    connections.sweep();
  });
  sharedTimer.start();
  const closeAll = async () => {
    sharedTimer.close();
    events.stop();
    for (const watch of watches) watch.close();
    const parts = [
      settledEra,
      peerSync,
      registry,
      steward,
      peers,
      front,
      attempts,
      orders,
    ];
    const servers = [status, directory, documents, metricsServer];
    await Promise.allSettled([...parts, ...servers].map(part => part.close()));
    connections.close();
    await store.close();
  };
  events.addHandler({
    types: ['exit'],
    handle: () => void closeAll().then(settle),
    close: async () => {},
    destroy: () => {},
  });
  return {
    state,
    ended,
    leave: () => {
      events.dispatch({type: 'leaveRequested'});
      peers.sendUrgently();
      void steward.close();
      setTimeout(() => front.stopListening(), STOP_LISTENING_DELAY_MS).unref();
    },
    destroy: closeAll,
  };
}

/** The stack of an error, for the log. */
function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? String(error))
    : String(error);
}

/** Lists the engines again on request of the core, if this node reads them from the store. */
function createRelistHandler(
  {state, clock}: ServingContext,
  watch: StoreWatch,
) {
  return {
    types: ['relistEngines'] as const,
    handle(): void {
      if (needsFleetWatch(state, clock.nowMs())) void watch.refresh();
    },
    close: async () => {},
    destroy: () => {},
  };
}

/** Writes the log lines and records the metrics that the core emits. */
function createTelemetryHandler(context: ServingContext) {
  return {
    types: ['log', 'metric'] as const,
    handle(effect: ServingEffect): void {
      if (effect.type === 'log') {
        const {level, area, message, fields} = effect;
        context.logger.write(level, area, message, fields);
      } else if (effect.type === 'metric') {
        context.metrics.count(effect.name, effect.value, effect.labels);
      }
    },
    close: async () => {},
    destroy: () => {},
  };
}
