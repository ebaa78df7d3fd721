import type {NodeId} from '../../src/core/ids/index.js';
import type {NodeState} from '../../src/core/state/types.js';
import type {UndatedEvent} from '../../src/core/events/types.js';
import {FleetWorld} from '../../src/replay/fleet/index.js';
import {createNodeState} from '../../src/core/state/index.js';
import {installFleet} from '../../src/replay/load/install_fleet.js';
import {makeId} from '../../src/core/ids/index.js';
import {reduce} from '../../src/core/reduce.js';

const GROUP_TARGETS = 56;
const WARM_UP = 2000;
const MEASURED = 10_000;
const FLEET_WARM_UP_MS = 20_000;
const FLEET_MEASURED_MS = 30_000;
const VMS_PER_DOMAIN = 16;

interface RoleCosts {
  /** A broker's answer to one demand, by number of holders. */
  readonly demandUs: readonly (readonly [holders: number, us: number])[];
  /** Bytes of a demand and its answer, as JSON. */
  readonly demandBytes: number;
  /** A node that polls every VM and holds every domain, by number of VMs. */
  readonly stewardUsPerSecond: readonly (readonly [vms: number, us: number])[];
  /** Store calls of that node a second. */
  readonly stewardCallsPerSecond: readonly number[];
}

/** Measures the core's cost of brokers and stewards; the fakes of the fleet are included. */
export function measureRoles(): RoleCosts {
  const fleets = [2, 8].map(measureSteward);
  return {
    demandUs: [18, 620].map(holders => [holders, measureDemand(holders)]),
    demandBytes: measureDemandBytes(),
    stewardUsPerSecond: fleets.map(one => [one.vms, one.usPerSecond]),
    stewardCallsPerSecond: fleets.map(one => one.callsPerSecond),
  };
}

function measureDemand(holders: number): number {
  const state = createBroker(holders);
  let nowMs = 1_000_000;
  const ask = (count: number) => {
    for (let at = 0; at < count; at++) {
      nowMs += 1000 / holders;
      reduce(state, {...createDemand(at % holders), nowMs});
    }
  };
  ask(Math.max(WARM_UP, 3 * holders));
  const startedAtNs = process.hrtime.bigint();
  ask(MEASURED);
  return Number(process.hrtime.bigint() - startedAtNs) / 1000 / MEASURED;
}

function measureDemandBytes(): number {
  const state = createBroker(18);
  let bytes = 0;
  for (let at = 0; at < 18 * 4; at++) {
    const event = createDemand(at % 18);
    const nowMs = 1_000_000 + at * 100;
    const [answer] = reduce(state, {...event, nowMs}).filter(
      one => one.type === 'peerSend',
    );
    const sent = JSON.stringify(event.messages).length;
    bytes = sent + JSON.stringify(answer?.message ?? '').length;
  }
  return bytes;
}

function createBroker(nodes: number): NodeState {
  const nodeId = makeId<NodeId>('node-0');
  const state = createNodeState(
    {
      nodeId,
      incarnation: makeId('node-0/1'),
      zone: makeId('zone-0'),
      region: 'region',
      callerAddress: '',
      controlAddress: '',
      roles: {
        entry: true,
        relay: false,
        observer: false,
        broker: true,
        steward: false,
      },
    },
    1,
  );
  installFleet(state, {
    nodes,
    services: [
      {
        name: 'chat',
        kind: 'model',
        engines: GROUP_TARGETS,
        engine: {
          slots: 8,
          tokenMs: 20,
          batchCost: 0,
          prefillMsPerToken: 0,
          cachedPrefixes: 0,
        },
      },
    ],
    organisations: [{name: 'large', weight: 1}],
    stragglers: [],
    refusers: [],
    reportIntervalMs: 500,
    reportLagMs: 100,
    crestFromMs: 0,
    crestUntilMs: 0,
  });
  return state;
}

function createDemand(
  from: number,
): Extract<UndatedEvent, {type: 'peerExchanged'}> {
  const own = Array.from(
    {length: 8},
    (_, at) =>
      [makeId<never>(`chat-${(from + at) % GROUP_TARGETS}`), 1] as const,
  );
  return {
    type: 'peerExchanged',
    from: makeId<NodeId>(`node-${from}`),
    messages: [
      {type: 'routing.demand', group: 'chat#0', queued: 1, started: 4, own},
    ],
  };
}

function measureSteward(domains: number) {
  const world = new FleetWorld({
    seed: 1,
    nodes: 1,
    domains,
    vmsPerDomain: VMS_PER_DOMAIN,
    services: [{name: 'feeding', replicas: domains, vmsPerReplica: 8}],
  });
  world.run(FLEET_WARM_UP_MS);
  const before = countCalls(world);
  const startedAtNs = process.hrtime.bigint();
  world.run(FLEET_MEASURED_MS);
  const tookUs = Number(process.hrtime.bigint() - startedAtNs) / 1000;
  const seconds = FLEET_MEASURED_MS / 1000;
  return {
    vms: domains * VMS_PER_DOMAIN,
    usPerSecond: tookUs / seconds,
    callsPerSecond: (countCalls(world) - before) / seconds,
  };
}

function countCalls(world: FleetWorld): number {
  const {calls} = world.store.platform;
  return [...calls.values()].reduce((sum, count) => sum + count, 0);
}
