import type {MetricDefinition} from './metric_definition.js';

const WAIT_BUCKETS_MS = [
  5, 10, 25, 50, 100, 250, 500, 850, 1500, 3000, 6000, 15_000, 30_000,
];

/** Finest around 100 to 300 ms, the gaps at which a stream counts as late. */
const GAP_BUCKETS_MS = [
  10, 25, 50, 75, 100, 150, 200, 250, 300, 500, 1000, 2000, 6000,
];

/** All metrics of a node, by the name under which the core and the runtime record them. */
export const METRIC_DEFINITIONS: Readonly<Record<string, MetricDefinition>> = {
  requests: {
    kind: 'counter',
    help: 'Requests that got their final answer, by service and verdict.',
    labels: ['service', 'verdict'],
  },
  queueMs: {
    kind: 'histogram',
    help: 'Time from arrival to the first dispatch, by service.',
    labels: ['service'],
    buckets: WAIT_BUCKETS_MS,
  },
  firstTokenMs: {
    kind: 'histogram',
    help: 'Time from arrival to the first token, by service.',
    labels: ['service'],
    buckets: WAIT_BUCKETS_MS,
  },
  inFlight: {
    kind: 'gauge',
    help: 'Requests at this node, by service, class and phase.',
    labels: ['service', 'class', 'phase'],
  },
  storeCalls: {
    kind: 'counter',
    help: 'Calls to the platform, by kind and outcome.',
    labels: ['kind', 'outcome'],
  },
  peerBytes: {
    kind: 'counter',
    help: 'Bytes of exchanges with peers, by direction.',
    labels: ['direction'],
  },
  loopMs: {
    kind: 'counter',
    help: 'Processor time of the decision loop, by role.',
    labels: ['role'],
  },
  targetPolls: {
    kind: 'counter',
    help: 'Reports asked of targets.',
    labels: [],
  },
  targetBars: {
    kind: 'counter',
    help: 'Changes of whether a target may get work, by service and reason ("none": it may).',
    labels: ['service', 'bar'],
  },
  orders: {
    kind: 'counter',
    help: 'Orders sent to engines, by kind.',
    labels: ['kind'],
  },
  orderResults: {
    kind: 'counter',
    help: 'Results of orders, by outcome.',
    labels: ['outcome'],
  },
  configPulls: {
    kind: 'counter',
    help: 'Configuration read from peers or the store, by kind.',
    labels: ['kind'],
  },
  configAlarms: {
    kind: 'counter',
    help: 'Configuration that was not taken over, by cause.',
    labels: ['cause'],
  },
  auditDropped: {
    kind: 'counter',
    help: 'Audit records given up because too many waited for the store.',
    labels: [],
  },
  attempts: {
    kind: 'counter',
    help: 'Dispatches of requests to targets, by service.',
    labels: ['service'],
  },
  forwards: {
    kind: 'counter',
    help: 'Requests that another node was asked to pass on, since this one could not reach the targets, by service.',
    labels: ['service'],
  },
  attemptFaults: {
    kind: 'counter',
    help: 'Dispatches that ended without a whole answer, by service and fault.',
    labels: ['service', 'fault'],
  },
  announcements: {
    kind: 'counter',
    help: 'Engines that said in an answer that they leave, or want no requests for a time, by kind.',
    labels: ['kind'],
  },
  coldEngines: {
    kind: 'counter',
    help: 'Engines that this node took to be cold, by what showed it.',
    labels: ['source'],
  },
  coldSends: {
    kind: 'counter',
    help: 'Requests that were sent to cold engines, by service.',
    labels: ['service'],
  },
  recoveries: {
    kind: 'counter',
    help: 'Targets that this node began to use slowly, by service.',
    labels: ['service'],
  },
  shedRequests: {
    kind: 'counter',
    help: 'Waiting requests that were refused since the queue was longer than what the pool serves in time, by service and priority.',
    labels: ['service', 'priority'],
  },
  turnedAway: {
    kind: 'counter',
    help: 'Requests that were answered on arrival without a dispatch, by reason.',
    labels: ['reason'],
  },
  clientLimits: {
    kind: 'counter',
    help: 'Connections closed and requests refused because clients exceeded a limit, by listener and reason.',
    labels: ['listener', 'reason'],
  },
  eventGapMs: {
    kind: 'histogram',
    help: 'Time between parts of a stream that reached this node, by service.',
    labels: ['service'],
    buckets: GAP_BUCKETS_MS,
  },
  replicas: {
    kind: 'gauge',
    help: 'Replicas as the engines report them, by model and stage of the head.',
    labels: ['model', 'stage'],
  },
  waitingRequests: {
    kind: 'gauge',
    help: 'Requests that wait at this node for a target, by pool.',
    labels: ['pool'],
  },
  beliefAgeMs: {
    kind: 'gauge',
    help: 'Age of what this node believes: proof of the configuration, reading of the engines, own lease as steward (time that is left).',
    labels: ['belief'],
  },
  beliefVersion: {
    kind: 'gauge',
    help: 'Version of the configuration in force at this node, and revision up to which it has read the engines.',
    labels: ['belief'],
  },
  repeats: {
    kind: 'gauge',
    help: 'Repeats of the last seconds at this node, the number that its part of the shared budget allows, and the number of nodes that share it, by service.',
    labels: ['service', 'of'],
  },
  zoneEvacuations: {
    kind: 'counter',
    help: 'Zones that this node learned to be evacuated or returned to service, by change.',
    labels: ['change'],
  },
  evacuatedRefusals: {
    kind: 'counter',
    help: 'Requests refused since all targets are in evacuated zones, by service.',
    labels: ['service'],
  },
  evacuatedZones: {
    kind: 'gauge',
    help: 'Zones that are evacuated as this node knows, by zone.',
    labels: ['zone'],
  },
  unlisted: {
    kind: 'counter',
    help: 'Measurements that have no definition, by name.',
    labels: ['name'],
  },
};
