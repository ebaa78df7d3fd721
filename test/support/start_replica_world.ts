import {ServingWorld} from '../../src/replay/serving/index.js';

const ASSEMBLY_MS = 5000;

/** Simulates four nodes and three domains of engines until their first replicas are assembled. */
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
