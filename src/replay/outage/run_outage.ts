import type {
  Incarnation,
  NodeId,
  OperationId,
  ZoneId,
} from '../../core/ids/index.js';
import type {OutageMeasures} from './outage_measures.js';
import type {OutagePlan} from './outage_plan.js';
import type {Random} from '../../core/random/index.js';
import type {VirtualNode} from '../virtual_node.js';
import {RatedStore} from './rated_store.js';
import {SteadyCallers} from './steady_callers.js';
import {VirtualNetwork} from '../virtual_network.js';
import {VirtualStore} from '../virtual_store.js';
import {VirtualWorld} from '../virtual_world.js';
import {createHash} from 'node:crypto';
import {makeId} from '../../core/ids/index.js';
import {measureOutage} from './measure_outage.js';

interface OutageRun {
  readonly plan: OutagePlan;
  readonly seed: number;
  readonly hasBudget: boolean;
  /** Without jitter, nodes wait and retry at the same times. */
  readonly hasJitter: boolean;
}

const ZONES = 3;
const PUBLISH_AT_MS = 6000;
/** Only requests and membership run here; targets are set directly. */
const ROLES = {
  entry: true,
  relay: true,
  observer: false,
  broker: false,
  steward: false,
};

/** Runs a fleet through an outage of the store in virtual time. */
export function runOutage(run: OutageRun): OutageMeasures {
  const {plan} = run;
  const world = new VirtualWorld(0);
  const store = new VirtualStore(world);
  const rated = new RatedStore(world, store, {
    callsPerSecond: plan.storeCallsPerSecond,
    hasBudget: run.hasBudget,
  });
  const callers = new SteadyCallers(world);
  world.addFake(rated);
  world.addFake(new VirtualNetwork(world));
  world.addFake(callers);
  const startNode = (at: number) => {
    const node = world.addNode(createSelf(at), run.seed + at);
    if (!run.hasJitter) removeJitter(node);
    callers.addTarget(node);
    node.start();
  };
  for (let at = 0; at < plan.nodes; at++) startNode(at);
  world.time.runUntil(PUBLISH_AT_MS);
  publish(world.nodes.values().next().value!);
  world.time.runUntil(2 * PUBLISH_AT_MS);
  callers.start(plan.requestsPerSecond, plan.endMs);
  world.time.runUntil(plan.downFromMs);
  rated.isDown = true;
  store.fault = () => 'unavailable';
  world.time.runUntil((plan.downFromMs + plan.downUntilMs) / 2);
  startNode(plan.nodes);
  world.time.runUntil(plan.downUntilMs);
  rated.isDown = false;
  store.fault = () => 'none';
  world.time.runUntil(plan.endMs + PUBLISH_AT_MS);
  return measureOutage(world, plan, rated, callers);
}

/**
 * Replaces the random generator by one that always returns the minimum, which
 * removes all jitter.
 */
function removeJitter(node: VirtualNode): void {
  const random: Random = {next: () => 0, nextInt: () => 0, token: () => '0'};
  Object.assign(node.state, {random});
}

function publish(node: VirtualNode): void {
  const {organisation, service, token} = SteadyCallers;
  const tokenSha256 = createHash('sha256').update(token).digest('hex');
  const organisations = [
    `[organisation.${organisation}]`,
    `tokenSha256 = ${tokenSha256}`,
    'maxRequestsPerSecond = 100000',
    'maxInFlight = 100000',
  ];
  const bookings = [
    '[service]',
    `name = ${service}`,
    'kind = application',
    `organisations = ${organisation}`,
    'timeout = 10s',
    '[application]',
    'slotsPerEngine = 64',
  ];
  node.dispatch({
    type: 'operatorAsked',
    operationId: makeId<OperationId>('publish'),
    operator: 'replay',
    request: {
      kind: 'publish',
      publicationId: 'publish',
      prune: false,
      files: [
        {path: 'organisations.ini', text: organisations.join('\n')},
        {path: `${service}.ini`, text: bookings.join('\n')},
      ],
    },
  });
}

function createSelf(at: number) {
  const nodeId = makeId<NodeId>(`n${at}`);
  return {
    nodeId,
    incarnation: makeId<Incarnation>(`${nodeId}/0`),
    zone: makeId<ZoneId>(`z${at % ZONES}`),
    region: 'r1',
    callerAddress: `${nodeId}:1`,
    controlAddress: `${nodeId}:2`,
    seedPeers: ['n0:2', 'n1:2'],
    roles: ROLES,
  };
}
