import type {Benchmark} from './benchmark.js';
import {measureExchange} from './capacity/measure_exchange.js';
import type {GrowthRow} from './capacity/growth_row.js';
import {measureGrowth} from './capacity/measure_growth.js';
import {measureMemory} from './capacity/measure_memory.js';
import {measureRoles} from './capacity/measure_roles.js';

const FLEET_SIZES = [18, 60, 150];
/** Fleet size that is expected in two years. */
const EXPECTED_FLEET = {
  nodes: 620,
  engines: 4800,
  services: 200,
  changesPerDay: 5900,
  replacementsPerDay: 1093,
};
const LIMITS = {cpuShare: 0.024, memoryMb: 32, bytesPerSecond: 4096};
const DAY_SECONDS = 86_400;
const MB = 1024 * 1024;
/** Exchanges that each node performs per replaced or failed node: gossip along the ring and to random peers, twice. */
const GOSSIP_EXCHANGES = 10;

/** Measures the cost slopes of membership and configuration and extrapolates them to the expected fleet size. */
export const capacity: Benchmark = {
  name: 'capacity',
  description: 'slopes of control work, and the table for 620 nodes',
  async run() {
    const exchange = await measureExchange();
    const memory = measureMemory();
    console.log('slopes');
    printRow('exchange with one heartbeat, bytes both ways', exchange.bytes);
    printRow('  of which message', exchange.messageBytes);
    printRow('exchange, processor us, both ends', exchange.cpuUs);
    printRow('peer, bytes of heap', memory.peerBytes);
    printRow('target, bytes of heap', memory.targetBytes);
    printRow('service of 600 bytes, bytes of heap', memory.serviceBytes);
    printRoles(measureRoles());
    const rows = FLEET_SIZES.map(measureGrowth);
    printGrowth(rows);
    printProjection(rows.at(-1)!, exchange, memory);
  },
};

type Exchange = Awaited<ReturnType<typeof measureExchange>>;
type Memory = ReturnType<typeof measureMemory>;

function printRow(name: string, value: number): void {
  console.log(`  ${name.padEnd(52)} ${value.toFixed(1).padStart(12)}`);
}

/** Prints the cost of brokers and stewards, core only. */
function printRoles(roles: ReturnType<typeof measureRoles>): void {
  for (const [holders, us] of roles.demandUs) {
    printRow(`broker, us a demand, ${holders} holders`, us);
  }
  printRow('broker, bytes of a demand and its answer', roles.demandBytes);
  roles.stewardUsPerSecond.forEach(([vms, us], at) => {
    printRow(`steward and polls of ${vms} VMs, us a second`, us);
    const calls = roles.stewardCallsPerSecond[at]!;
    printRow('  store calls a second', calls);
  });
}

function printGrowth(rows: readonly GrowthRow[]): void {
  console.log('per node by number of nodes (10 zones, virtual time)');
  const columns: readonly [string, (row: GrowthRow) => number][] = [
    ['nodes', row => row.nodes],
    ['store calls/s', row => row.storeCallsPerSecond],
    ['store calls/s, whole fleet', row => row.fleetStoreCallsPerSecond],
    ['exchanges/s', row => row.exchangesPerSecond],
    ['message bytes/s', row => row.messageBytesPerSecond],
    ['core, % of a processor core', row => row.cpuShare * 100],
    ['config bytes a change', row => row.changeBytes],
    ['whole copy, bytes', row => row.fullCopyBytes],
    ['slowest change in force, ms', row => row.maxPropagationMs],
  ];
  for (const [name, value] of columns) {
    const cells = rows.map(row => value(row).toFixed(2).padStart(12));
    console.log(`  ${name.padEnd(30)}${cells.join('')}`);
  }
  console.log('store calls/s of the whole fleet by kind');
  for (const kind of new Set(rows.flatMap(row => [...row.calls.keys()]))) {
    const cells = rows.map(row =>
      ((row.calls.get(kind) ?? 0) / 60).toFixed(2).padStart(12),
    );
    console.log(`  ${kind.padEnd(30)}${cells.join('')}`);
  }
}

/** Prints the cost of membership and configuration per node at the expected fleet size; other roles are not included. */
function printProjection(last: GrowthRow, exchange: Exchange, memory: Memory) {
  const {nodes, engines, services, changesPerDay, replacementsPerDay} =
    EXPECTED_FLEET;
  const sent = last.exchangesPerSecond;
  const changes = changesPerDay / DAY_SECONDS;
  const gossip = (replacementsPerDay / DAY_SECONDS) * GOSSIP_EXCHANGES;
  const changeBytes = changes * (last.changeBytes + 2 * exchange.bytes);
  // Each exchange is sent by one node and received by another, so it counts at both.
  const bytes = (sent + gossip) * exchange.bytes * 2 + changeBytes;
  const cpu = (sent + gossip) * (exchange.cpuUs / 1e6) + last.cpuShare;
  const heap =
    nodes * memory.peerBytes +
    engines * memory.targetBytes +
    services * memory.serviceBytes;
  const copies = (changes * last.fullCopyBytes).toFixed(0);
  const deltas = (changes * last.changeBytes).toFixed(0);
  console.log(
    `worked out for ${nodes} nodes, ${engines} engines, ${changesPerDay} changes a day; per node, membership and configuration`,
  );
  printLimit('processor, % of a core', cpu * 100, LIMITS.cpuShare * 100);
  printLimit('heap of peers, targets, texts, MB', heap / MB, LIMITS.memoryMb);
  printLimit('bytes/s, both directions', bytes, LIMITS.bytesPerSecond);
  console.log(
    `  configuration, bytes/s: ${deltas} by changes, ${copies} by whole copies`,
  );
  const storeCalls = last.storeCallsPerSecond * nodes;
  console.log(
    `  store calls/s of all nodes at the rate of ${last.nodes} nodes: ${storeCalls.toFixed(0)}`,
  );
}

function printLimit(name: string, value: number, limit: number): void {
  const verdict = value <= limit ? 'met' : 'NOT MET';
  console.log(
    `  ${name.padEnd(36)} ${value.toFixed(2).padStart(10)} of ${limit.toFixed(2)}: ${verdict}`,
  );
}
