import fc from 'fast-check';
import type {FleetWorld} from '../../src/replay/fleet/index.js';
import type {VmRecord} from '../../src/core/store/types.js';

const KINDS = [
  'kill-vm',
  'freeze-vm',
  'leave-vm',
  'drop-from-list',
  'domain-dark',
  'freeze-node',
  'replace-node',
  'cut-node',
  'store-down',
  'lose-answers',
  'late-orders',
] as const;

/** Longest delay of an order, by whether its engine checks fencing tokens. */
const MAX_LATE_MS = {fencing: 20_000, none: 1900} as const;

/** One fault of a schedule; `pick` selects the engine or node. */
export interface FleetFault {
  readonly kind: (typeof KINDS)[number];
  readonly atMs: number;
  readonly forMs: number;
  readonly pick: number;
}

/** Generates random schedules of faults that begin within `spanMs`. */
export function fleetFaultArbitrary(
  spanMs: number,
): fc.Arbitrary<FleetFault[]> {
  const fault = fc.record({
    kind: fc.constantFrom(...KINDS),
    atMs: fc.integer({min: 0, max: spanMs}),
    forMs: fc.integer({min: 200, max: 20_000}),
    pick: fc.nat({max: 999}),
  });
  return fc.array(fault, {minLength: 2, maxLength: 10});
}

/** Schedules faults in virtual time, relative to now. */
export function scheduleFaults(
  world: FleetWorld,
  faults: readonly FleetFault[],
): void {
  for (const fault of faults) {
    world.world.time.after(fault.atMs, () => begin(world, fault));
  }
}

function begin(world: FleetWorld, {kind, forMs, pick}: FleetFault): void {
  const engines = [...world.fleet.engines.values()];
  const engine = engines[pick % engines.length]!;
  const {vmId, domain} = engine.record;
  const at = pick % world.nodes.length;
  const node = world.nodes[at]!;
  const later = (run: () => void) => world.world.time.after(forMs, run);
  switch (kind) {
    case 'kill-vm':
      engine.kill();
      return later(() => engine.restart());
    case 'freeze-vm':
      engine.freeze();
      return later(() => engine.thaw());
    case 'leave-vm':
      engine.isLeaving = true;
      list(world, one =>
        one.vmId === vmId ? {...one, state: 'leaving'} : one,
      );
      return later(() => {
        engine.kill();
        list(world, one => (one.vmId === vmId ? undefined : one));
      });
    case 'drop-from-list':
      list(world, one => (one.vmId === vmId ? undefined : one));
      return later(() => restore(world, engine.record));
    case 'domain-dark': {
      const unreachable = engines.filter(one => one.record.domain === domain);
      for (const one of unreachable) one.kill();
      return later(() => unreachable.forEach(one => one.restart()));
    }
    case 'freeze-node':
      node.freeze();
      return later(() => node.thaw());
    case 'replace-node':
      node.kill();
      return later(() => {
        if (world.nodes[at] === node) world.startNode(at);
      });
    case 'cut-node': {
      const before = world.fleet.isUp;
      world.fleet.isUp = (one, id) => one !== node && before(one, id);
      return later(() => (world.fleet.isUp = () => true));
    }
    case 'store-down':
      world.store.fault = () => 'unavailable';
      return later(() => (world.store.fault = () => 'none'));
    case 'lose-answers': {
      let calls = 0;
      world.store.fault = () => (calls++ % 3 === 0 ? 'lose-answer' : 'none');
      return later(() => (world.store.fault = () => 'none'));
    }
    case 'late-orders':
      world.fleet.orderDelayMs = (_node, order) => {
        const hasFencing = world.fleet.engines.get(order.vmId)!.record
          .checksFencing;
        const maxMs = hasFencing ? MAX_LATE_MS.fencing : MAX_LATE_MS.none;
        return (pick * 37 + world.fleet.orders * 613) % maxMs;
      };
      return later(() => (world.fleet.orderDelayMs = () => 1));
  }
}

/** Ends all faults and restarts the nodes and engines that are down. */
export function endFaults(world: FleetWorld): void {
  world.store.fault = () => 'none';
  world.fleet.isUp = () => true;
  world.fleet.orderDelayMs = () => 1;
  for (const engine of world.fleet.engines.values()) {
    engine.thaw();
    if (engine.isLeaving) engine.kill();
    engine.restart();
  }
  world.listVms([...world.fleet.engines.values()].map(one => one.record));
  for (const [at, node] of world.nodes.entries()) {
    node.thaw();
    if (!node.isAlive) world.startNode(at);
  }
}

function list(
  world: FleetWorld,
  change: (record: VmRecord) => VmRecord | undefined,
): void {
  const records = world.store.platform.listVms();
  world.listVms(records.flatMap(record => change(record) ?? []));
}

function restore(world: FleetWorld, record: VmRecord): void {
  const records = world.store.platform.listVms();
  if (records.some(one => one.vmId === record.vmId)) return;
  world.listVms([...records, record]);
}
