import {ServingWorld} from '../../src/replay/serving/index.js';

const ASSEMBLY_MS = 5000;

/** Four nodes before three domains of engines, with their first replicas assembled. */
export function startReplicaWorld(seed: number): ServingWorld {
  const world = new ServingWorld({
    seed,
    nodeCount: 4,
    domainCount: 3,
    domainSize: 11,
  });
  world.runFor(ASSEMBLY_MS);
  return world;
}
