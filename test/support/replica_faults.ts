import fc from 'fast-check';
import type {ServingWorld} from '../../src/replay/serving/index.js';

const FAULTS = [
  'crash-silently',
  'crash',
  'restart',
  'leave',
  'slow',
  'steward-restart',
  'steward-disconnect',
  'late-orders',
  'head-partition',
  'heartbeat-loss',
  'head-heartbeat-loss',
  'add',
] as const;

/** Generates a fault of any kind, with its delay after the previous one. */
export const replicaFaultArbitrary = fc.record({
  kind: fc.constantFrom(...FAULTS),
  afterMs: fc.integer({min: 0, max: 1500}),
  at: fc.nat({max: 1000}),
});
/** One fault of a schedule; `at` selects the engine or domain that it affects. */
export type ReplicaFault = {
  readonly kind: (typeof FAULTS)[number];
  readonly afterMs: number;
  readonly at: number;
};

/** Injects a fault, and schedules its end where it has one. */
export function applyReplicaFault(
  world: ServingWorld,
  {kind, at}: ReplicaFault,
): void {
  const engines = [...world.engines.values()];
  const engine = engines[at % engines.length]!;
  const {vmId} = engine.record;
  switch (kind) {
    case 'crash-silently':
    case 'crash':
      if (engine.isUp) {
        world.crashEngine(vmId, {isSilent: kind === 'crash-silently'});
        world.after(4500, () => !engine.isUp && world.restartEngine(vmId));
      }
      break;
    case 'restart':
      if (engine.isUp) {
        engine.crash(false);
        engine.restart();
      }
      break;
    case 'leave':
      if (engine.isUp && at % 3 === 0) {
        engine.leaveService();
        world.after(4000, () => {
          if (engine.isUp) world.crashEngine(vmId, {isSilent: false});
        });
      }
      break;
    case 'slow':
      engine.slowdownFactor = 4;
      world.after(5000, () => (engine.slowdownFactor = 1));
      break;
    case 'steward-restart':
      world.restartSteward();
      break;
    case 'steward-disconnect':
      world.disconnectSteward();
      break;
    case 'late-orders':
      world.network.lateOrderShare = 0.5;
      world.after(4000, () => (world.network.lateOrderShare = 0));
      break;
    case 'head-partition': {
      const head = engines.find(one => one.isServing);
      if (!head) break;
      const unreachableId = head.record.vmId;
      // Unreachable from half of the nodes; the store and the other half still receive its reports.
      const parity = at % 2;
      world.network.isReachable = (node, to) =>
        to !== unreachableId || Number(node.slice(1)) % 2 === parity;
      world.after(4000, () => (world.network.isReachable = () => true));
      break;
    }
    case 'heartbeat-loss':
      if (engine.isUp) world.dropHeartbeats(vmId, 5000 + at);
      break;
    case 'head-heartbeat-loss': {
      const heads = engines.filter(one => one.isServing);
      const head = heads[at % Math.max(1, heads.length)];
      if (head) world.dropHeartbeats(head.record.vmId, 5000 + at);
      break;
    }
    case 'add':
      world.addEngine(`d${at % 3}`);
      break;
  }
}
