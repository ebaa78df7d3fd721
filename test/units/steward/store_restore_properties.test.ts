import assert from 'node:assert/strict';
import fc from 'fast-check';
import {describe, it} from 'node:test';
import type {ReplicaFault} from '../../support/replica_faults.js';
import type {ServingWorld} from '../../../src/replay/serving/index.js';
import {SERVING_MODELS, sendLoad} from '../../../src/replay/serving/index.js';
import {
  applyReplicaFault,
  replicaFaultArbitrary,
} from '../../support/replica_faults.js';
import {createRandom} from '../../../src/core/random/index.js';
import {propertyOptions} from '../../support/property_options.js';
import {startReplicaWorld} from '../../support/start_replica_world.js';

const storeRestore = fc.record({
  kind: fc.constant('store-restore' as const),
  afterMs: fc.integer({min: 0, max: 2500}),
  ageMs: fc.integer({min: 0, max: 10_000}),
  outageMs: fc.integer({min: 100, max: 5000}),
});
const nodesLost = fc.record({
  kind: fc.constant('nodes-lost' as const),
  afterMs: fc.integer({min: 0, max: 1500}),
  downMs: fc.integer({min: 500, max: 2000}),
});
type ValueOf<T> = T extends fc.Arbitrary<infer U> ? U : never;
type AnyFault =
  ReplicaFault | ValueOf<typeof storeRestore> | ValueOf<typeof nodesLost>;

function applyFault(world: ServingWorld, fault: AnyFault): void {
  if (fault.kind === 'store-restore') world.restoreStoreFromBackup(fault);
  else if (fault.kind === 'nodes-lost') world.powerCycleNodes(fault.downMs);
  else applyReplicaFault(world, fault);
}

describe('replicas while the store is restored from backups', () => {
  it('never serve with a member that was not ready, and never share a member', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 1e6}),
        fc.array(
          fc.oneof(
            storeRestore,
            storeRestore,
            nodesLost,
            replicaFaultArbitrary,
          ),
          {
            minLength: 3,
            maxLength: 12,
          },
        ),
        (seed, faults) => {
          const world = startReplicaWorld(seed);
          sendLoad(world, createRandom(seed), {
            durationMs: 16_000,
            requestsPerS: () => 25,
          });
          for (const one of faults) {
            world.runFor(one.afterMs);
            applyFault(world, one);
          }
          world.runFor(12_000);
          assert.deepEqual(world.violations, []);
        },
      ),
      propertyOptions(60, 20261206),
    );
  });

  it('serve again after the last restore', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 1e6}),
        fc.array(storeRestore, {minLength: 1, maxLength: 4}),
        (seed, faults) => {
          const world = startReplicaWorld(seed);
          world.hasTraffic = true;
          for (const one of faults) {
            world.runFor(one.afterMs);
            applyFault(world, one);
          }
          world.runFor(25_000);
          const {large, small} = SERVING_MODELS;
          assert.ok(world.countServing(large) >= 3);
          assert.ok(world.countServing(small) >= 3);
        },
      ),
      propertyOptions(25, 20261207),
    );
  });
});
