import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EvacuationReport} from '../../../src/core/serving/evacuation/types.js';
import type {LoadDigest} from '../../../src/core/serving/types.js';
import type {ModelSpec} from '../../../src/core/fleet/types.js';
import type {NodeId, VmId, ZoneId} from '../../../src/core/ids/index.js';
import type {ReplicaTrack} from '../../../src/core/steward/types.js';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {createDigest, isReady} from '../../../src/core/serving/index.js';
import {createSummary} from '../../../src/core/serving/relays/create_summary.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {evacuationRows} from '../../../src/serving/evacuation_rows.js';
import {makeId} from '../../../src/core/ids/index.js';
import {returnedAtMs} from '../../../src/core/serving/evacuation/index.js';
import {storeVersion} from '../../../src/core/store/index.js';
import {supplyOf} from '../../../src/core/steward/supply_of.js';

const NEAR = makeId<ZoneId>('zone');
const FAR = makeId<ZoneId>('far');
/** Time after a restore in which the store may lack the operator's last writes. */
const SETTLING_MS = 2200;

/** A node with the engines e0 and e1 in one zone and e2 in another. */
class EvacuationNode extends ServingNodeHarness {
  constructor(bounds: object = {evacuateMs: 5000}) {
    super(bounds);
  }

  override start(): this {
    super.start();
    const engine = {...createTestEngine(2), zone: FAR, revision: 20};
    this.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: engine.vmId, revision: 20, engine}],
      revision: 20,
    });
    return this;
  }

  read(version: number, ...zones: ZoneId[]): void {
    this.dispatch({
      type: 'evacuationRead',
      storeVersion: version,
      zones,
      provenAtMs: this.nowMs,
    });
  }

  hear(
    report: Partial<EvacuationReport> | undefined,
    overrides: Partial<LoadDigest> = {},
  ): void {
    const evacuation = {
      storeVersion: 1,
      zones: [],
      keptZones: [],
      proofAgeMs: -1,
      ...report,
    };
    const digest = this.createPeerDigest({
      ...overrides,
      ...(report && {evacuation}),
    });
    this.dispatch({type: 'digestReceived', digest});
  }

  get targets(): string {
    return [...this.state.targets.keys()].sort().join();
  }
}

const start = () => new EvacuationNode().start();

describe('a node that does not know the evacuations', () => {
  it('sends nothing and is not ready, until it has read the store', () => {
    const node = start();
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 0);
    const [refusal] = node.takeEffects('refuse');
    assert.equal(refusal?.status, 503);
    assert.equal(isReady(node.state, node.nowMs), false);
    node.read(1);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
    assert.equal(isReady(node.state, node.nowMs), true);
  });

  it('learns them from a digest when the store is down', () => {
    const node = start();
    node.hear({storeVersion: 3, zones: [NEAR]});
    assert.equal(node.targets, 'e2');
  });

  it('does not take the digest of an earlier build for a list without zones', () => {
    const node = start();
    node.hear(undefined);
    assert.equal(node.targets, '');
    assert.equal(isReady(node.state, node.nowMs), false);
  });
});

describe('a deployment without evacuations', () => {
  it('ignores readings and reports, and its digests have no field', () => {
    const node = new EvacuationNode({}).start();
    node.read(3, NEAR);
    node.hear({storeVersion: 4, zones: [FAR]});
    assert.equal(node.targets, 'e0,e1,e2');
    assert.equal(isReady(node.state, node.nowMs), true);
    assert.ok(!('evacuation' in createDigest(node.state, node.nowMs)));
  });
});

describe('an evacuated zone', () => {
  it('is that of the reading with the highest version, whatever arrives last', () => {
    const node = start();
    node.read(5, NEAR);
    node.hear({storeVersion: 4, zones: [FAR]});
    node.read(3);
    assert.equal(node.targets, 'e2');
    node.hear({storeVersion: 6, zones: [FAR]});
    assert.equal(node.targets, 'e0,e1');
  });

  it('ends its requests, but gets no retry of a failed one and no resumed stream', () => {
    const node = start();
    node.read(1);
    for (let count = 0; count < 6; count++) node.submitRequest('streaming');
    const attempts = node.takeEffects('startAttempt');
    const inZone = attempts.filter(({vmId}) => vmId !== 'e2');
    assert.ok(inZone.length >= 3);
    for (const {attemptId} of inZone) {
      node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    }
    node.read(2, NEAR);
    const [goesOn, ...broken] = inZone;
    assert.equal(node.takeEffects('cancelAttempt').length, 0);
    for (const {attemptId} of broken) {
      node.dispatch({type: 'attemptFailed', attemptId, fault: 'broken'});
    }
    const resumed = node.takeEffects('startAttempt');
    assert.equal(resumed.length, broken.length);
    assert.ok(resumed.every(({vmId}) => vmId === 'e2'));
    const {attemptId, requestId} = goesOn!;
    node.dispatch({type: 'attemptEnded', attemptId, status: 200});
    assert.ok(!node.state.requests.has(requestId));
  });

  it('makes waiting requests go elsewhere, or be refused at once as not run', () => {
    const node = start();
    node.read(1, FAR);
    for (let count = 0; count < 30; count++) node.submitRequest('safe');
    const waiting = [...node.state.waitingByPool.values()].flat().length;
    assert.ok(waiting > 0);
    node.takeEffects('startAttempt');
    node.read(2, NEAR);
    const sent = node.takeEffects('startAttempt');
    assert.ok(sent.length > 0 && sent.every(({vmId}) => vmId === 'e2'));
    const left = [...node.state.waitingByPool.values()].flat().length;
    assert.ok(left > 0);
    assert.equal(node.takeEffects('refuse').length, 0);
    node.read(3, NEAR, FAR);
    const refusals = node.takeEffects('refuse');
    assert.equal(refusals.length, left);
    for (const {status, reason, retryAfterMs} of refusals) {
      assert.equal(status, 503);
      assert.equal(reason, 'evacuated');
      assert.ok(retryAfterMs! >= 2000 && retryAfterMs! <= 3000);
    }
  });

  it('notes when it was returned to service, until it is evacuated again', () => {
    const node = start();
    node.read(1, NEAR);
    assert.equal(returnedAtMs(node.state, NEAR), undefined);
    node.advance(1000);
    node.read(2);
    const atMs = node.nowMs;
    node.advance(500);
    assert.equal(returnedAtMs(node.state, NEAR), atMs);
    node.read(3, NEAR);
    assert.equal(returnedAtMs(node.state, NEAR), undefined);
  });

  it('is told on by a relay, with the age of the proof', () => {
    const node = start();
    node.hear({storeVersion: 7, zones: [NEAR], proofAgeMs: 200});
    node.advance(300);
    const {evacuation} = createSummary(
      node.state,
      {scope: 'fleet', hasRoster: false},
      node.nowMs,
    );
    assert.deepEqual(evacuation, {
      storeVersion: 7,
      zones: [NEAR],
      keptZones: [],
      // 100 ms for the way of the digest.
      proofAgeMs: 600,
    });
    const own = createDigest(node.state, node.nowMs).evacuation;
    assert.equal(own?.proofAgeMs, -1);
  });
});

describe('evacuations in a store that was restored from a backup', () => {
  const restored = (revision: number) => storeVersion.make(2, revision)!;
  const startBefore = () => {
    const node = start();
    node.dispatch({type: 'storeEraRead', era: 1});
    node.read(storeVersion.make(1, 50)!, NEAR);
    return node;
  };

  it('are added, and none is removed before the store has settled', () => {
    const node = startBefore();
    node.advance(5000);
    node.dispatch({type: 'storeEraRead', era: 2});
    node.read(restored(10));
    assert.equal(node.targets, 'e2');
    node.read(restored(11), FAR);
    assert.equal(node.targets, '');
    node.advance(SETTLING_MS - 100);
    assert.equal(node.targets, '');
    node.advance(200);
    assert.equal(node.targets, 'e0,e1');
  });

  it('are kept when the operator writes them again meanwhile', () => {
    const node = startBefore();
    node.advance(5000);
    node.dispatch({type: 'storeEraRead', era: 2});
    node.read(restored(10));
    node.advance(1000);
    node.read(restored(12), NEAR);
    node.advance(SETTLING_MS);
    assert.equal(node.targets, 'e2');
    assert.equal(returnedAtMs(node.state, NEAR), undefined);
  });

  it('are learned by a node that starts meanwhile, from peers that keep them', () => {
    const node = new EvacuationNode();
    Object.assign(node.state, {isFirstStart: false});
    node.start();
    node.dispatch({type: 'storeEraRead', era: 2});
    node.read(restored(10));
    assert.equal(node.targets, 'e0,e1,e2');
    const report = {storeVersion: restored(10), keptZones: [NEAR]};
    node.hear(report, {storeEra: 2});
    assert.equal(node.targets, 'e2');
    // A peer that has not learned of the restore.
    const early = {storeVersion: storeVersion.make(1, 50)!, zones: [FAR]};
    node.hear(early, {storeEra: 1, from: makeId<NodeId>('n2')});
    assert.equal(node.targets, '');
    node.advance(SETTLING_MS + 100);
    assert.equal(node.targets, 'e0,e1,e2');
    // A peer for which the store settles later does not bring them back.
    node.hear(report, {storeEra: 2});
    assert.equal(node.targets, 'e0,e1,e2');
  });
});

describe('evacuations in datagrams', () => {
  const encode = (digest: LoadDigest) =>
    digestCodec.decode(digestCodec.encode(digest))!;

  it('arrive as they were sent, and are left out where unknown', () => {
    const node = start();
    const evacuation = {
      storeVersion: storeVersion.make(3, 77)!,
      zones: [NEAR],
      keptZones: [FAR],
      proofAgeMs: -1,
    };
    const digest = node.createPeerDigest({evacuation});
    assert.deepEqual(encode(digest).evacuation, evacuation);
    assert.ok(!('evacuation' in encode(node.createPeerDigest())));
  });

  it('are left out when their row has another shape, and the rest is read', () => {
    const rows = [
      null,
      7,
      [],
      ['5', 0, []],
      [-5, 0, []],
      [1e300, 0, []],
      [5, -2, []],
      [5, 0, 'zone'],
      [5, 0, [1]],
      [5, 0, [], {}],
    ];
    for (const V of rows) {
      const decoded = evacuationRows.decode({V} as never);
      assert.deepEqual(decoded, {}, JSON.stringify(V));
    }
  });
});

describe('the supply of a model', () => {
  const model = {name: 'm', size: 1, workShare: 0.5} as unknown as ModelSpec;
  function addTrack(node: EvacuationNode, vmId: string): void {
    node.state.steward.tracks.set(vmId, {
      key: vmId,
      model: model.name,
      phase: 'open',
      members: [makeId<VmId>(vmId)],
    } as unknown as ReplicaTrack);
  }

  it('has no heads in evacuated zones, unless all are there', () => {
    const node = start();
    node.read(1);
    for (const vmId of ['e0', 'e1', 'e2']) addTrack(node, vmId);
    const step = {state: node.state, nowMs: node.nowMs, effects: []};
    assert.equal(supplyOf(step, model), 6);
    node.read(2, NEAR);
    assert.equal(supplyOf(step, model), 2);
    node.read(3, NEAR, FAR);
    assert.equal(supplyOf(step, model), 6);
  });
});
