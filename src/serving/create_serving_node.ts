import {randomInt} from 'node:crypto';
import type {PlatformStore} from '../core/store/types.js';
import type {
  HeldConfig,
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
import {BootClock} from '../runtime/boot_clock.js';
import {CatchUp} from './catch_up.js';
import {CountedStore} from './counted_store.js';
import {DocumentServer} from './document_server.js';
import {DirectoryServer} from './directory_server.js';
import {EventLoop} from '../runtime/event_loop.js';
import {FrontServer} from './front_server.js';
import {MetricsServer} from './metrics_server.js';
import {NodeRegistry} from './node_registry.js';
import {OrderClient} from './order_client.js';
import {Pulse} from './pulse.js';
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

/** Resolution of decisions that wait for time; a pass of a target takes as long. */
const TICK_MS = 50;
const SWEEP_MS = 2000;
const MAX_SEED = 2 ** 31;
/** After SIGTERM callers have left by then, and new connections are refused. */
const STOP_LISTENING_MS = 3000;

interface ServingNodeOptions {
  readonly settings: ServingSettings;
  readonly wire: PlatformWire;
  readonly store: PlatformStore;
  readonly logger: Logger;
  readonly seed?: number;
}

/** A serving node in this process. */
interface ServingNode {
  /** Read only. */
  readonly state: ServingState;
  /** Settles when the node has ended after `leave`. */
  readonly ended: Promise<void>;
  /** Leaves in an orderly way: requests in progress end whole. */
  leave(): void;
  /** Drops everything at once, as a lost node would. */
  destroy(): Promise<void>;
}

/** Starts a node that serves callers from what the platform's store says. Rejects when a listener can't be opened. */
export async function createServingNode(
  options: ServingNodeOptions,
): Promise<ServingNode> {
  const {settings, wire, logger} = options;
  const clock = new BootClock();
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
  });
  const metrics = createNodeMetrics();
  const store = new CountedStore(options.store, clock, metrics, logger, {
    regained: lostMs => events.dispatch({type: 'storeRegained', lostMs}),
    era: era => events.dispatch({type: 'storeEraRead', era}),
  });
  const pulse = new Pulse(clock, () => isIdle(state));
  const context: ServingContext = {
    settings,
    wire,
    store,
    clock,
    events,
    state,
    logger,
    metrics,
    pulse,
  };
  const front = new FrontServer(context);
  const attempts = new AttemptClient(context, front);
  const orders = new OrderClient(context);
  const status = new StatusServer(context);
  const directory = new DirectoryServer(context);
  const metricsServer = new MetricsServer(context);
  const registry = new NodeRegistry(context);
  const peers = new PeerExchange(context);
  const held: HeldConfig = {version: -1};
  const documents = new DocumentServer(context, held);
  const steward = new StewardLease(context);
  const configWatch = watchConfig(context, held);
  const fleetWatch = watchFleet(context);
  const watches = [configWatch, fleetWatch];
  const catchUp = new CatchUp(context, configWatch, held);
  for (const handler of [front, attempts, orders, peers])
    events.addHandler(handler);
  events.addHandler(createReporter(context));
  events.addHandler(createRelister(context, fleetWatch));
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
  for (const watch of watches) watch.start();
  registry.start();
  peers.start();
  steward.start();
  catchUp.start();
  pulse.every(TICK_MS, () => events.dispatch({type: 'tick'}));
  pulse.every(SWEEP_MS, () => attempts.sweep());
  pulse.start();
  const closeAll = async () => {
    pulse.close();
    events.stop();
    for (const watch of watches) watch.close();
    const parts = [catchUp, registry, steward, peers, front, attempts, orders];
    const servers = [status, directory, documents, metricsServer];
    await Promise.allSettled([...parts, ...servers].map(part => part.close()));
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
      peers.tellUrgently();
      void steward.close();
      setTimeout(() => front.stopListening(), STOP_LISTENING_MS).unref();
    },
    destroy: closeAll,
  };
}

/** Lists the engines anew when the core asks for it, where this node reads them from the store. */
function createRelister({state, clock}: ServingContext, watch: StoreWatch) {
  return {
    types: ['relistEngines'] as const,
    handle(): void {
      if (needsFleetWatch(state, clock.nowMs())) void watch.refresh();
    },
    close: async () => {},
    destroy: () => {},
  };
}

/** Writes the core's log lines and measurements. */
function createReporter(context: ServingContext) {
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
