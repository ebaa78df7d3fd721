import type {Incarnation, NodeId, ZoneId} from '../../core/ids/index.js';
import type {LoadFleet} from './load_fleet.js';
import type {LoadRequest} from './load_request.js';
import type {NodeState} from '../../core/state/types.js';
import type {RequestOutcome} from './request_outcome.js';
import {VirtualCallers} from './virtual_callers.js';
import {VirtualNetwork} from '../virtual_network.js';
import {VirtualStore} from '../virtual_store.js';
import {VirtualTargets} from './virtual_targets.js';
import {VirtualWorld} from '../virtual_world.js';
import {installFleet} from './install_fleet.js';
import {makeId} from '../../core/ids/index.js';

const ZONES = 3;
/** Time after the last request for pending responses to end. */
const DRAIN_MS = 300_000;
const ROLES = {
  entry: true,
  relay: false,
  observer: false,
  broker: true,
  steward: false,
};

interface LoadRun {
  readonly fleet: LoadFleet;
  readonly requests: readonly LoadRequest[];
  readonly seed: number;
  /** Modifies the state of a node before it starts, to run a baseline. */
  readonly prepare: (state: NodeState, at: number) => void;
}

/** Runs a load trace through the cores of several nodes with virtual engines. */
export function runLoad(run: LoadRun): readonly RequestOutcome[] {
  const {fleet, requests, seed} = run;
  const world = new VirtualWorld();
  const callers = new VirtualCallers(world);
  const targets = new VirtualTargets(world, fleet, id => callers.outcomeOf(id));
  world.addFake(callers);
  world.addFake(targets);
  world.addFake(new VirtualNetwork(world));
  world.addFake(new VirtualStore(world));
  for (let at = 0; at < fleet.nodes; at++) {
    const node = world.addNode(createSelf(at), seed + at);
    installFleet(node.state, fleet);
    run.prepare(node.state, at);
    node.start();
  }
  targets.startReports();
  callers.start(requests);
  const lastMs = requests.at(-1)?.atMs ?? 0;
  let remainingMs = lastMs + DRAIN_MS;
  while (remainingMs > 0 && !isFinished(callers, world.time.nowMs, lastMs)) {
    world.time.runUntil(world.time.nowMs + STEP_MS);
    remainingMs -= STEP_MS;
  }
  return callers.outcomes;
}

const STEP_MS = 1000;

function isFinished(
  callers: VirtualCallers,
  nowMs: number,
  lastMs: number,
): boolean {
  if (nowMs <= lastMs) return false;
  return callers.outcomes.every(
    ({request, endedAtMs}) =>
      endedAtMs !== undefined || nowMs > request.atMs + request.deadlineMs,
  );
}

function createSelf(at: number) {
  const nodeId = makeId<NodeId>(`node-${at}`);
  return {
    nodeId,
    incarnation: makeId<Incarnation>(`${nodeId}/0`),
    zone: makeId<ZoneId>(`zone-${at % ZONES}`),
    region: 'region',
    callerAddress: `${nodeId}:1`,
    controlAddress: `${nodeId}:2`,
    roles: ROLES,
  };
}
