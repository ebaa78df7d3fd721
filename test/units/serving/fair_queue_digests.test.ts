import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {OrganisationId} from '../../../src/core/ids/index.js';
import type {ServingState} from '../../../src/core/serving/types.js';
import type {WorkRow} from '../../../src/core/serving/fair_queue/types.js';
import type {LoadFlow} from '../../support/fair_load.js';
import type {ServingWorld} from '../../../src/replay/serving/index.js';
import {ServingNodeHarness} from '../../support/serving_node_harness.js';
import {SERVING_MODELS} from '../../../src/replay/serving/index.js';
import {createDigest} from '../../../src/core/serving/create_digest.js';
import {createRandom} from '../../../src/core/random/index.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {makeId} from '../../../src/core/ids/index.js';
import {measureService} from '../../../src/core/serving/fair_queue/measure_service.js';
import {runFairLoad} from '../../support/fair_load.js';
import {workRows} from '../../../src/serving/work_rows.js';

const POOL = `pool/${SERVING_MODELS.small}`;
const LARGEST = makeId<OrganisationId>('organisation-0');
const DURATION_MS = 6000;

/** One organisation has most of the work; 22 others have a little each. */
const FLOWS: readonly LoadFlow[] = Array.from(
  {length: 23},
  (_, organisation) => ({
    kind: 'draft' as const,
    organisation,
    requestsPerS: organisation === 0 ? 15 : 0.7,
  }),
);

/** What all nodes together admitted lately, by their own counts. */
function sumOwn(world: ServingWorld): number {
  return world.nodes
    .filter(({isUp}) => isUp)
    .reduce((sum, {state}) => {
      const own = state.fairQueue.pools.get(POOL)?.own.get(LARGEST);
      const ageMs = world.nowMs - (own?.atMs ?? 0);
      return sum + (own ? own.count * Math.exp(-ageMs / 5000) : 0);
    }, 0);
}

/** Runs a load and returns what each node counts for the largest organisation near its end, relative to the sum of all nodes' own counts. */
function measureViews(options: {
  readonly nodeCount: number;
  readonly fault?: (world: ServingWorld) => void;
  readonly faultAtMs?: number;
}): number[] {
  let views: number[] = [];
  runFairLoad({
    seed: 3,
    durationMs: DURATION_MS,
    flows: FLOWS,
    isFair: true,
    nodeCount: options.nodeCount,
    onStart: world => {
      world.after(options.faultAtMs ?? 2000, () => options.fault?.(world));
      world.after(DURATION_MS - 100, () => {
        const total = sumOwn(world);
        assert.ok(total > 10_000);
        views = world.nodes
          .filter(({isUp}) => isUp)
          .map(
            ({state}) =>
              measureService(state, POOL, LARGEST, world.nowMs) / total,
          );
      });
    },
  });
  return views;
}

function checkViews(views: readonly number[], low: number, high: number) {
  assert.ok(views.length > 0);
  for (const view of views) {
    assert.ok(view > low && view < high, `views ${views.join(' ')}`);
  }
}

describe('the work of an organisation as each node counts it', () => {
  // Guards against a node that knows only its own part, as without the rows.
  it('is that of all nodes in a small fleet', () => {
    checkViews(measureViews({nodeCount: 6}), 0.9, 1.1);
  });

  // Guards against sums of relays that count a node's own part twice.
  it('is that of all nodes with relays', () => {
    checkViews(measureViews({nodeCount: 24}), 0.85, 1.15);
  });

  // Guards against sums that are lost, or added again, when another relay takes over.
  it('survives the loss of a relay', () => {
    const views = measureViews({
      nodeCount: 24,
      fault: world => {
        const at = world.nodes.findIndex(
          ({state}) => state.exchange.relayRank === 0,
        );
        world.restartNode(at, 60_000);
      },
    });
    checkViews(views, 0.75, 1.4);
  });

  // Guards against counts that lost digests freeze or remove.
  it('tolerates that half of the digests are lost', () => {
    const random = createRandom(11);
    const views = measureViews({
      nodeCount: 6,
      fault: world => {
        world.exchange.isConnected = () => random.next() < 0.5;
      },
    });
    checkViews(views, 0.85, 1.15);
  });

  // Guards against a node that favours floods until it has counted for itself.
  it('is known to a node that has just started', () => {
    const views = measureViews({
      nodeCount: 6,
      fault: world => world.restartNode(0, 1000),
      faultAtMs: DURATION_MS - 2000,
    });
    checkViews(views, 0.7, 1.3);
  });
});

function createRows(count: number): WorkRow[] {
  return Array.from({length: count}, (_, at) => ({
    pool: POOL,
    organisationId: makeId<OrganisationId>(`o${at}`),
    tokens: 1000 + at,
  }));
}

function countOf(state: ServingState, at: number, nowMs: number): number {
  const id = makeId<OrganisationId>(`o${at}`);
  return measureService(state, POOL, id, nowMs);
}

describe('rows of admitted work in digests', () => {
  it('survive encoding, at most 24 of them', () => {
    const rows = createRows(30);
    const {work} = workRows.decode(workRows.encode(rows));
    assert.deepEqual(work, rows.slice(0, 24));
  });

  // Guards against a digest that is dropped, or a count that is not a number, because of a malformed row.
  it('are skipped where they are malformed', () => {
    const malformed: unknown = [
      [POOL, 'a', 5, 'b', -1, 'c', 'x', 'd', 1e300, 'e'],
      [POOL, 7, 5],
      [3, 'f', 5],
      'text',
      null,
      {},
    ];
    const {work} = workRows.decode({O: malformed as never});
    assert.deepEqual(work, [{pool: POOL, organisationId: 'a', tokens: 5}]);
    assert.deepEqual(workRows.decode({O: 'text' as never}), {});
  });

  // Guards against a node that takes no part with peers of an earlier build.
  it('are optional: a digest without them leaves the counts of its sender to decay', () => {
    const node = new ServingNodeHarness().start();
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({work: createRows(2)}),
    });
    const before = countOf(node.state, 1, node.nowMs);
    assert.equal(before, 1001);
    node.advance(1000);
    const {work: none, ...old} = node.createPeerDigest();
    assert.equal(none, undefined);
    const bytes = digestCodec.encode(old);
    node.dispatch({
      type: 'digestReceived',
      digest: digestCodec.decode(bytes)!,
    });
    const after = countOf(node.state, 1, node.nowMs);
    assert.ok(after > 0.7 * before && after < 0.9 * before, `${after}`);
  });

  // Guards against counts that grow with each digest of the same sender.
  it('replace the earlier rows of their sender', () => {
    const node = new ServingNodeHarness().start();
    for (let at = 0; at < 5; at++) {
      node.dispatch({
        type: 'digestReceived',
        digest: node.createPeerDigest({work: createRows(2)}),
      });
    }
    assert.equal(countOf(node.state, 0, node.nowMs), 1000);
  });

  // Guards against larger digests where the mechanism is disabled.
  it('are not sent without organisations', () => {
    const node = new ServingNodeHarness().start();
    node.submitRequest('safe');
    assert.equal('work' in createDigest(node.state, node.nowMs), false);
  });
});
