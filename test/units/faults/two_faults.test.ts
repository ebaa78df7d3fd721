import assert from 'node:assert/strict';
import fc from 'fast-check';
import {propertyOptions} from '../../support/property_options.js';
import {describe, it} from 'node:test';
import type {NodeId} from '../../../src/core/ids/index.js';
import type {VirtualNode} from '../../../src/replay/index.js';
import {VirtualFleet} from '../../support/virtual_fleet.js';
import {hasAuthority, readiness} from '../../../src/core/membership/index.js';
import {createServiceFile} from '../../support/config_files.js';

const NODES = 9;
const SEED = 11;
const RUNS = 40;
const STEP_MS = 20;

function startFleet(seed: number): VirtualFleet {
  const fleet = new VirtualFleet(seed);
  fleet.start(NODES);
  fleet.run(5000);
  fleet.publishInitialConfig();
  return fleet;
}

function nodeOf(fleet: VirtualFleet, at: number): VirtualNode {
  return fleet.world.nodes.get(`n${at}` as NodeId)!;
}

function zoneOf(fleet: VirtualFleet, zone: number): VirtualNode[] {
  return [...fleet.world.nodes.values()].filter(
    node => node.state.self.zone === `z${zone + 1}`,
  );
}

/** Advances virtual time and calls `check` every 20 ms. */
function runChecked(fleet: VirtualFleet, ms: number, check: () => void): void {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
    fleet.run(STEP_MS);
    check();
  }
}

describe('two simultaneous faults', () => {
  it('both sides serve while a zone is partitioned and the store is down, and one configuration is in force afterwards', () => {
    const plan = fc.record({
      seed: fc.nat(1000),
      zone: fc.nat(2),
      storeFirst: fc.boolean(),
      betweenMs: fc.integer({min: 0, max: 4000}),
      partitionMs: fc.integer({min: 3000, max: 60_000}),
      direction: fc.constantFrom('out', 'in', 'both'),
    });
    fc.assert(
      fc.property(plan, one => {
        const fleet = startFleet(one.seed);
        const partitioned = new Set(
          zoneOf(fleet, one.zone).map(node => node.state.self.nodeId),
        );
        const partitionZone = () => {
          fleet.network.isUp = (from, to) =>
            partitioned.has(from) === partitioned.has(to) ||
            (one.direction === 'in' && partitioned.has(from)) ||
            (one.direction === 'out' && partitioned.has(to));
        };
        const stopStore = () => (fleet.store.fault = () => 'unavailable');
        const faults = one.storeFirst
          ? [stopStore, partitionZone]
          : [partitionZone, stopStore];
        faults[0]!();
        // A publication between the two faults may be accepted or refused.
        const outside = nodeOf(fleet, (one.zone + 1) % 3);
        const publication = fleet.publish(outside, [createServiceFile('s', 2)]);
        fleet.run(one.betweenMs);
        faults[1]!();
        fleet.run(3000);
        runChecked(fleet, one.partitionMs, () => {
          for (const node of fleet.world.nodes.values()) {
            const isIn = partitioned.has(node.state.self.nodeId);
            assert.ok(
              readiness(node.state, fleet.nowMs).ready,
              'every node stays ready',
            );
            if (isIn) continue;
            const listed = fleet.entries(node);
            assert.ok(listed.every(at => !partitioned.has(`n${at}` as NodeId)));
          }
        });
        fleet.network.isUp = () => true;
        fleet.run(3000);
        fleet.store.fault = () => 'none';
        fleet.run(30_000);
        const revision = publication.answer?.kind === 'ok' ? 2 : 1;
        assert.ok(
          fleet.revisions().every(found => found >= revision),
          'an accepted publication is in force at every node',
        );
        assert.equal(new Set(fleet.revisions()).size, 1);
        for (const node of fleet.world.nodes.values()) {
          assert.equal(fleet.entries(node).length, 8);
          assert.ok(hasAuthority(node.state, fleet.nowMs));
        }
      }),
      propertyOptions(RUNS, SEED),
    );
  });

  it('two nodes with the same name never both have authority when one is frozen past its lease and responses to writes are lost', () => {
    const plan = fc.record({
      seed: fc.nat(1000),
      frozenMs: fc.integer({min: 500, max: 40_000}),
      replaceAtMs: fc.integer({min: 0, max: 20_000}),
      lossPercent: fc.integer({min: 10, max: 70}),
    });
    fc.assert(
      fc.property(plan, one => {
        const fleet = startFleet(one.seed);
        const old = nodeOf(fleet, 4);
        let calls = 0;
        fleet.store.fault = (_node, operation) =>
          operation.kind !== 'watch' && (++calls * 37) % 100 < one.lossPercent
            ? 'lose-answer'
            : 'none';
        old.freeze();
        fleet.run(one.replaceAtMs);
        const next = fleet.startNode(4);
        const check = () => {
          const holders = [old, next].filter(
            node => node.isRunning && hasAuthority(node.state, fleet.nowMs),
          );
          assert.ok(holders.length <= 1, 'two nodes have authority');
        };
        runChecked(fleet, one.frozenMs, check);
        old.thaw();
        check();
        runChecked(fleet, 20_000, check);
        fleet.store.fault = () => 'none';
        runChecked(fleet, 30_000, check);
        assert.ok(hasAuthority(next.state, fleet.nowMs));
        assert.ok(old.state.membership.isSuperseded);
      }),
      propertyOptions(RUNS, SEED),
    );
  });
});
