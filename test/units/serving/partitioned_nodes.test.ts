import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
  CallerOutcome,
  PathFault,
  ServingWorld,
  WorldNode,
} from '../../../src/replay/serving/index.js';
import type {PartitionResult} from '../../support/partition_world.js';
import {simulatePartitions} from '../../support/partition_world.js';

/** Time from the start of a partition until requests at its nodes must be served. */
const CONTACT_MS = 3000;
/** First attempts at partitioned nodes are served at least this often, as a share of those at other nodes. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** First attempts that may fail at partitioned nodes in any case: a count and a share of all first attempts. */
const FREE_FAILURES = 10;
const FREE_FAILURE_SHARE = 1 / 50;
const CUT_MS = 10_000;
/** A lost engine is known to all nodes after a probe's time-out, the next one, and a digest. */
const LOSS_REPORT_MS = 1000;

const isFirstAttemptServed = ({result, refusalCount}: CallerOutcome) =>
  result === 'whole' && refusalCount === 0;

function shareOf(outcomes: readonly CallerOutcome[]): number {
  return outcomes.filter(isFirstAttemptServed).length / outcomes.length;
}

/** Asserts that callers of partitioned nodes are served at the first attempt about as often as those of other nodes. */
function assertServedAlike(
  {groups, outcomesIn}: PartitionResult,
  {at = 0, fromMs, toMs}: {at?: number; fromMs: number; toMs: number},
  label: string,
): void {
  const ids = new Set(groups[at]!.map(({state}) => state.nodeId));
  const outcomes = outcomesIn(fromMs, toMs);
  const ofPartitioned = outcomes.filter(({nodeId}) => ids.has(nodeId!));
  const ofOthers = outcomes.filter(({nodeId}) => !ids.has(nodeId!));
  assert.ok(ofPartitioned.length > 20 && ofOthers.length > 0, label);
  const failures = ofPartitioned.filter(one => !isFirstAttemptServed(one));
  const allowed = FREE_FAILURES + FREE_FAILURE_SHARE * outcomes.length;
  const relativeShare = shareOf(ofPartitioned) / shareOf(ofOthers);
  assert.ok(
    relativeShare >= MIN_RELATIVE_SHARE || failures.length <= allowed,
    `${label}: ${failures.length} of ${ofPartitioned.length} first attempts failed at partitioned nodes, ` +
      `${shareOf(ofOthers).toFixed(2)} were served at the others`,
  );
}

function findLossReports({logs}: ServingWorld): string[] {
  return logs.filter(line => / engine lost /.test(line));
}

/** Selects nodes, with or without the steward. */
function selectNodes(
  count: number,
  hasSteward: boolean,
): (world: ServingWorld) => WorldNode[] {
  return world => {
    const steward = world.stewardNode!;
    const others = world.nodes.filter(node => node !== steward);
    return hasSteward
      ? [steward, ...others.slice(0, count - 1)]
      : others.slice(0, count);
  };
}

const FAULTS: readonly PathFault[] = ['silent', 'refused', 'established-only'];

describe('nodes that are partitioned from all engines', () => {
  for (const fault of FAULTS) {
    for (const [name, count, hasSteward] of [
      ['a third of the nodes', 4, false],
      ['a third of the nodes, with the steward', 4, true],
      ['three quarters of the nodes, with the steward', 9, true],
      ['all nodes but one', 11, true],
    ] as const) {
      it(`serve callers like the others, ${fault}, ${name}`, () => {
        const result = simulatePartitions({
          seed: 1,
          partitions: [
            {
              atMs: 0,
              forMs: CUT_MS,
              fault,
              select: selectNodes(count, hasSteward),
            },
          ],
        });
        assertServedAlike(result, {fromMs: CONTACT_MS, toMs: CUT_MS}, name);
        assert.deepEqual(findLossReports(result.world), []);
        assert.deepEqual(result.world.violations, []);
        const during = shareOf(result.outcomesIn(CONTACT_MS, CUT_MS));
        const before = shareOf(result.outcomesIn(-4000, 0));
        const after = shareOf(result.outcomesIn(CUT_MS, CUT_MS + 3000));
        assert.ok(
          during >= MIN_RELATIVE_SHARE * before,
          `${during.toFixed(2)} served during the partition, ${before.toFixed(2)} before`,
        );
        assert.ok(
          after >= MIN_RELATIVE_SHARE * before,
          `${after.toFixed(2)} served after the partition, ${before.toFixed(2)} before`,
        );
      });
    }
  }

  it('serve callers in two partitions that overlap', () => {
    for (const seed of [2, 3]) {
      const result = simulatePartitions({
        seed,
        partitions: [
          {
            atMs: 0,
            forMs: CUT_MS,
            fault: 'silent',
            select: selectNodes(4, true),
          },
          {
            atMs: 6000,
            forMs: CUT_MS,
            fault: 'refused',
            select: world => world.nodes.slice(3, 8),
          },
        ],
      });
      const label = `seed ${seed}`;
      assertServedAlike(result, {fromMs: CONTACT_MS, toMs: 6000}, label);
      assertServedAlike(
        result,
        {at: 1, fromMs: 6000 + CONTACT_MS, toMs: 6000 + CUT_MS},
        label,
      );
      assert.deepEqual(findLossReports(result.world), [], label);
      assert.deepEqual(result.world.violations, [], label);
    }
  });

  it('serve callers while other nodes restart one after the other', () => {
    for (const seed of [4, 5]) {
      const result = simulatePartitions({
        seed,
        partitions: [
          {
            atMs: 0,
            forMs: CUT_MS,
            fault: 'silent',
            select: world => world.nodes.slice(0, 4),
          },
        ],
        beside: world => {
          for (let at = 4; at < 12; at++) {
            world.after((at - 3) * 1000, () => world.restartNode(at, 500));
          }
        },
      });
      assertServedAlike(
        result,
        {fromMs: CONTACT_MS, toMs: CUT_MS},
        `seed ${seed}`,
      );
    }
  });

  it('serve callers in a fleet of relays', () => {
    const result = simulatePartitions({
      seed: 6,
      nodeCount: 36,
      requestsPerS: 80,
      partitions: [
        {
          atMs: 0,
          forMs: CUT_MS,
          fault: 'silent',
          select: world => [
            ...world.nodes.filter((_, at) => at % 3 === 0),
            ...world.nodes.filter((_, at) => at % 9 === 1),
          ],
        },
      ],
    });
    assertServedAlike(result, {fromMs: CONTACT_MS, toMs: CUT_MS}, 'relays');
    assert.deepEqual(findLossReports(result.world), []);
    assert.deepEqual(result.world.violations, []);
  });

  it('hand the role of steward over to a node that reaches the engines', () => {
    for (const fault of FAULTS) {
      const result = simulatePartitions({
        seed: 7,
        partitions: [
          {atMs: 0, forMs: CUT_MS, fault, select: selectNodes(4, true)},
        ],
        beside: world =>
          world.after(CONTACT_MS, () => {
            const steward = world.stewardNode;
            assert.ok(steward, `${fault}: no steward`);
            const isPartitioned = world.logs.some(
              line =>
                line.includes(`${steward.state.nodeId} engines unreachable`) &&
                Number(line.split(' ')[0]) > 0,
            );
            assert.ok(!isPartitioned, `${fault}: the steward is partitioned`);
          }),
      });
      assert.deepEqual(result.world.violations, [], fault);
    }
  });

  it('take no engine for lost that others reach, when the steward loses the path to some', () => {
    for (const seed of [9, 10, 11]) {
      const result = simulatePartitions({
        seed,
        partitions: [
          {
            atMs: 0,
            forMs: CUT_MS,
            fault: 'silent',
            select: world => {
              const {nodeId} = world.stewardNode!.state;
              world.network.isReachable = (node, vmId) =>
                node !== nodeId || Number(vmId.slice(1)) % 4 > 0;
              return [];
            },
          },
        ],
      });
      assert.deepEqual(findLossReports(result.world), [], `seed ${seed}`);
      assert.deepEqual(result.world.violations, [], `seed ${seed}`);
    }
  });

  it('leave the detection of ended and silent engines to the others, as fast as without a partition', () => {
    for (const isSilent of [false, true]) {
      for (const hasSteward of [false, true]) {
        let crashedAtMs = 0;
        let vmId = '';
        const result = simulatePartitions({
          seed: 8,
          partitions: [
            {
              atMs: 0,
              forMs: CUT_MS,
              fault: 'silent',
              select: selectNodes(5, hasSteward),
            },
          ],
          beside: world =>
            world.after(5000, () => {
              const head = [...world.engines.values()].find(
                one => one.isServing && one.inFlight > 0,
              )!;
              crashedAtMs = world.nowMs;
              vmId = head.record.vmId;
              world.crashEngine(head.record.vmId, {isSilent});
            }),
        });
        const label = `silent ${isSilent}, steward partitioned ${hasSteward}`;
        const reports = findLossReports(result.world);
        assert.ok(
          reports.every(line => line.includes(`"${vmId}"`)),
          `${label}: ${reports.join('; ')}`,
        );
        const first = reports
          .map(line => Number(line.split(' ')[0]) + 1_000_000)
          .find(atMs => atMs >= crashedAtMs);
        assert.ok(first !== undefined, `${label}: the loss was not found`);
        assert.ok(
          first - crashedAtMs <= LOSS_REPORT_MS,
          `${label}: found after ${first - crashedAtMs} ms`,
        );
      }
    }
  });
});
