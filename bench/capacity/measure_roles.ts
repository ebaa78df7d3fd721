import type {NodeId} from '../../src/core/ids/index.js';
import type {NodeState} from '../../src/core/state/types.js';
import type {UndatedEvent} from '../../src/core/events/types.js';
import {FleetWorld} from '../../src/replay/fleet/index.js';
import {createBenchNode} from '../create_bench_node.js';
import {makeId} from '../../src/core/ids/index.js';
import {reduce} from '../../src/core/reduce.js';

const GROUP_TARGETS = 56;
const WARM_UP = 2000;
const MEASURED = 10_000;
const FLEET_WARM_UP_MS = 20_000;
const FLEET_MEASURED_MS = 30_000;
const VMS_PER_DOMAIN = 16;

interface RoleCosts {
  /** Time of a broker to process one demand, by number of holders, in microseconds. */
  readonly demandUs: readonly (readonly [holders: number, us: number])[];
  /** Bytes of a demand and its response, as JSON. */
  readonly demandBytes: number;
  /** Processor time per second of a node that polls every VM and is steward of every domain, by number of VMs. */
  readonly stewardUsPerSecond: readonly (readonly [vms: number, us: number])[];
  /** Store calls per second of that node. */
  readonly stewardCallsPerSecond: readonly number[];
}

/** Measures the core's cost of brokers and stewards; the cost of the simulated fleet is included. */
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
  const sendDemands = (count: number) => {
    for (let at = 0; at < count; at++) {
      nowMs += 1000 / holders;
      reduce(state, {...createDemand(at % holders), nowMs});
    }
  };
  sendDemands(Math.max(WARM_UP, 3 * holders));
  const startedAtNs = process.hrtime.bigint();
  sendDemands(MEASURED);
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
  return createBenchNode({nodes, targets: GROUP_TARGETS});
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
  const elapsedUs = Number(process.hrtime.bigint() - startedAtNs) / 1000;
  const seconds = FLEET_MEASURED_MS / 1000;
  return {
    vms: domains * VMS_PER_DOMAIN,
    usPerSecond: elapsedUs / seconds,
    callsPerSecond: (countCalls(world) - before) / seconds,
  };
}

function countCalls(world: FleetWorld): number {
  const {calls} = world.store.platform;
  return [...calls.values()].reduce((sum, count) => sum + count, 0);
}
