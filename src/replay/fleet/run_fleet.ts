import type {FleetFault} from './fleet_fault.js';
import type {FleetMeasures} from './fleet_measures.js';
import type {FleetPlan} from './fleet_plan.js';
import {AnswerCounter} from './answer_counter.js';
import {FleetWorld} from './fleet_world.js';
import {applyFault} from './apply_fault.js';

const STEP_MS = 250;

interface StepSums {
  down: number;
  stranded: number;
  belowMinimum: number;
}

/** Replays the faults of a trace with one planner. */
export function runFleet(
  plan: FleetPlan,
  seed: number,
  faults: readonly FleetFault[],
  planner: 'deficit-first' | 'first-come',
): FleetMeasures {
  const world = new FleetWorld({...plan, seed, planner});
  const counter = new AnswerCounter();
  world.world.addFake(counter);
  world.run(plan.formMs);
  const ordersBefore = world.fleet.orders;
  const loadsBefore = world.fleet.loads;
  for (const fault of faults) {
    world.world.time.after(fault.atMs, () => applyFault(world, fault));
  }
  const sums: StepSums = {down: 0, stranded: 0, belowMinimum: 0};
  let requestCount = 0;
  world.watch(plan.durationMs, STEP_MS, () => {
    measureStep(world, sums);
    const node = world.nodes[requestCount++ % world.nodes.length]!;
    for (const {name} of world.services) world.request(node, name);
  });
  const seconds = (steps: number) => (steps * STEP_MS) / 1000;
  return {
    replicaDownSeconds: seconds(sums.down),
    strandedVmSeconds: seconds(sums.stranded),
    belowMinimumSeconds: seconds(sums.belowMinimum),
    orders: world.fleet.orders - ordersBefore,
    weightLoads: world.fleet.loads - loadsBefore,
    answered: counter.answered,
    refused: counter.refused,
    missingAtEnd: countMissing(world),
  };
}

function measureStep(world: FleetWorld, sums: StepSums): void {
  const node = world.nodes.find(one => one.isRunning)!;
  let usable = 0;
  let working = 0;
  let required = 0;
  for (const engine of world.fleet.engines.values()) {
    if (engine.condition === 'alive' && !engine.isLeaving) usable += 1;
  }
  for (const service of world.services) {
    const serving = world.countServing(service.name, node);
    sums.down += Math.max(0, service.replicas - serving);
    sums.belowMinimum += serving < (service.minServing ?? 0) ? 1 : 0;
    working += serving * service.vmsPerReplica;
    required += service.replicas * service.vmsPerReplica;
  }
  sums.stranded += Math.max(0, Math.min(usable, required) - working);
}

function countMissing(world: FleetWorld): number {
  return world.services.reduce((sum, {name, replicas}) => {
    const serving = world.countServing(name, world.nodes[0]!);
    return sum + Math.max(0, replicas - serving);
  }, 0);
}
