import type {GrowthRow} from './growth_row.js';
import {MeasuredFleet} from './measured_fleet.js';

const SERVICES = 200;
const SETTLE_MS = 30_000;
const MEASURED_MS = 60_000;
const CHANGES = 5;
const CHANGE_LIMIT_MS = 30_000;

/** Measures a fleet in steady state, then a few configuration changes. Throws when the first publication does not reach every node. */
export function measureGrowth(nodes: number): GrowthRow {
  const fleet = new MeasuredFleet(nodes);
  fleet.run(SETTLE_MS);
  const files = Array.from({length: SERVICES}, (_, at) => serviceFile(at, 1));
  fleet.publish([organisationsFile(), ...files]);
  fleet.run(SETTLE_MS);
  if (!fleet.hasRevision(1)) throw new Error('first publication not in force');
  fleet.reset();
  const before = process.cpuUsage();
  fleet.run(MEASURED_MS);
  const {user, system} = process.cpuUsage(before);
  const seconds = MEASURED_MS / 1000;
  const {counts} = fleet;
  const calls = [...counts.storeCalls.values()].reduce((a, b) => a + b, 0);
  const perNode = (value: number) => value / nodes / seconds;
  const fullCopyBytes = files.reduce((sum, {text}) => sum + text.length, 0);
  return {
    nodes,
    storeCallsPerSecond: perNode(calls),
    fleetStoreCallsPerSecond: calls / seconds,
    exchangesPerSecond: perNode(counts.exchanges),
    messageBytesPerSecond: perNode(counts.messageBytes),
    cpuShare: perNode((user + system) / 1e6),
    ...measureChanges(fleet),
    fullCopyBytes,
    calls: counts.storeCalls,
  };
}

function measureChanges(fleet: MeasuredFleet) {
  fleet.reset();
  let maxDelayMs = 0;
  for (let change = 1; change <= CHANGES; change++) {
    const fromMs = fleet.world.time.nowMs;
    fleet.publish([serviceFile(change, change + 1)]);
    while (!fleet.hasRevision(change + 1)) {
      fleet.run(10);
      const elapsedMs = fleet.world.time.nowMs - fromMs;
      maxDelayMs = Math.max(maxDelayMs, elapsedMs);
      if (elapsedMs > CHANGE_LIMIT_MS) break;
    }
    fleet.run(2000);
  }
  const {configBytes} = fleet.counts;
  return {
    changeBytes: configBytes / CHANGES / fleet.nodes,
    maxPropagationMs: maxDelayMs,
  };
}

function organisationsFile() {
  const text = `[organisation.o]
tokenSha256 = ${'0'.repeat(64)}
maxRequestsPerSecond = 100
maxInFlight = 100
`;
  return {path: 'organisations.ini', text};
}

function serviceFile(at: number, replicas: number) {
  const comment = '; kept beside the code of the service by its volunteers\n';
  const text = `${comment.repeat(8)}[service]
name = service-${at}
kind = model
organisations = o
timeout = 30s
[model]
model = base
version = v1
replicas = ${replicas}
vmsPerReplica = 8
slotsPerReplica = 32
`;
  return {path: `service-${at}.ini`, text};
}
