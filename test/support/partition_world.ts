import type {
  CallerOutcome,
  PathFault,
  WorldNode,
} from '../../src/replay/serving/index.js';
import {ServingWorld, sendLoad} from '../../src/replay/serving/index.js';
import {createRandom} from '../../src/core/random/index.js';

const ASSEMBLY_MS = 8000;
/** Load before the first partition, for comparison. */
const CALM_MS = 5000;
const TAIL_MS = 9000;

interface Partition {
  /** From the end of the calm time. */
  readonly atMs: number;
  readonly forMs: number;
  readonly fault: PathFault;
  readonly select: (world: ServingWorld) => WorldNode[];
}

interface PartitionScenario {
  readonly seed: number;
  readonly partitions: readonly Partition[];
  readonly nodeCount?: number;
  readonly requestsPerS?: number;
  /** Runs at the end of the calm time. */
  readonly beside?: (world: ServingWorld) => void;
}

/** Result of a simulated load with partitions of nodes from all engines. */
export interface PartitionResult {
  readonly world: ServingWorld;
  /** End of the calm time. */
  readonly startMs: number;
  /** The nodes of each partition. */
  readonly groups: readonly (readonly WorldNode[])[];
  /** Outcomes of the requests that callers sent in a period, in ms from the end of the calm time. */
  outcomesIn(fromMs: number, toMs: number): CallerOutcome[];
}

/** Simulates a load and partitions of nodes from all engines; callers, peers and the store still reach these nodes. */
export function simulatePartitions(
  scenario: PartitionScenario,
): PartitionResult {
  const {seed, partitions} = scenario;
  const world = new ServingWorld({
    seed,
    nodeCount: scenario.nodeCount ?? 12,
    domainCount: 4,
    domainSize: 11,
  });
  world.runFor(ASSEMBLY_MS);
  const lastMs = Math.max(...partitions.map(one => one.atMs + one.forMs));
  const durationMs = CALM_MS + lastMs + TAIL_MS;
  sendLoad(world, createRandom(seed), {
    durationMs,
    requestsPerS: () => scenario.requestsPerS ?? 60,
  });
  world.runFor(CALM_MS);
  const startMs = world.nowMs;
  scenario.beside?.(world);
  const groups: WorldNode[][] = partitions.map(() => []);
  for (const [at, {atMs, forMs, fault, select}] of partitions.entries()) {
    world.after(atMs, () => {
      groups[at]!.push(...select(world));
      world.network.partition(groups[at]!, fault);
    });
    world.after(atMs + forMs, () => {
      const others = partitions.flatMap((one, index) =>
        index !== at &&
        one.atMs < atMs + forMs &&
        one.atMs + one.forMs > atMs + forMs
          ? groups[index]!
          : [],
      );
      world.network.heal(groups[at]!.filter(node => !others.includes(node)));
    });
  }
  world.runFor(lastMs + TAIL_MS);
  return {
    world,
    startMs,
    groups,
    outcomesIn: (fromMs, toMs) =>
      world.outcomes.filter(
        ({arrivedAtMs}) =>
          arrivedAtMs >= startMs + fromMs && arrivedAtMs < startMs + toMs,
      ),
  };
}
