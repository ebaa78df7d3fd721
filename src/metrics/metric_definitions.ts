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
    help: 'Requests that received their final response, by service and verdict.',
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
    help: 'Requests in progress at this node, by service, class and phase.',
    labels: ['service', 'class', 'phase'],
  },
  storeCalls: {
    kind: 'counter',
    help: 'Calls to the platform, by kind and outcome.',
    labels: ['kind', 'outcome'],
  },
  peerBytes: {
    kind: 'counter',
    help: 'Bytes exchanged with peers, by direction.',
    labels: ['direction'],
  },
  loopMs: {
    kind: 'counter',
    help: 'Processor time of the decision loop in milliseconds, by role.',
    labels: ['role'],
  },
  targetPolls: {
    kind: 'counter',
    help: 'Reports requested from targets.',
    labels: [],
  },
  targetBars: {
    kind: 'counter',
    help: 'Changes of whether a target is available for work, by service and reason ("none": available).',
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
    help: 'Reads of the configuration from peers or the store, by kind.',
    labels: ['kind'],
  },
  configAlarms: {
    kind: 'counter',
    help: 'Configurations that were not applied, by cause.',
    labels: ['cause'],
  },
  auditDropped: {
    kind: 'counter',
    help: 'Audit records dropped because too many were waiting for the store.',
    labels: [],
  },
  attempts: {
    kind: 'counter',
    help: 'Dispatches of requests to targets, by service.',
    labels: ['service'],
  },
  attemptFaults: {
    kind: 'counter',
    help: 'Dispatches that ended without a complete response, by service and fault.',
    labels: ['service', 'fault'],
  },
  announcements: {
    kind: 'counter',
    help: 'Announcements of engines in responses that they are leaving or want no requests for some time, by kind.',
    labels: ['kind'],
  },
  turnedAway: {
    kind: 'counter',
    help: 'Requests rejected on arrival without a dispatch, by reason.',
    labels: ['reason'],
  },
  eventGapMs: {
    kind: 'histogram',
    help: 'Time between the parts of a stream as received by this node, by service.',
    labels: ['service'],
    buckets: GAP_BUCKETS_MS,
  },
  replicas: {
    kind: 'gauge',
    help: 'Replicas as reported by the engines, by model and stage of the head.',
    labels: ['model', 'stage'],
  },
  waitingRequests: {
    kind: 'gauge',
    help: 'Requests that are waiting at this node for a target, by pool.',
    labels: ['pool'],
  },
  beliefAgeMs: {
    kind: 'gauge',
    help: 'Age in milliseconds of the data of this node: proof and reading of the configuration, reading of the engines; for the own steward lease the time left.',
    labels: ['belief'],
  },
  beliefVersion: {
    kind: 'gauge',
    help: 'Version of the configuration active at this node, and store revision up to which it has read the engines.',
    labels: ['belief'],
  },
  repeats: {
    kind: 'gauge',
    help: 'Retries at this node in the last seconds, and those that the shared budget allows, by service.',
    labels: ['service', 'of'],
  },
  unlisted: {
    kind: 'counter',
    help: 'Values recorded under a name without a definition, by name.',
    labels: ['name'],
  },
};
