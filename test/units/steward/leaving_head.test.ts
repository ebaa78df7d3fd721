import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EngineRecord} from '../../../src/core/fleet/types.js';
import type {ReplicaTrack} from '../../../src/core/steward/types.js';
import type {
  ModelName,
  ReplicaId,
  ServiceName,
  VmId,
} from '../../../src/core/ids/index.js';
import {dissolveReplica} from '../../../src/core/steward/dissolve_replica.js';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {makeId} from '../../../src/core/ids/index.js';

/** Whether a steward still tracks a replica after its head e0 refused the connection of an order to leave, and another engine answered. `isUnlisted`: the store no longer lists the head. */
function isTrackedAfterRefusal(
  track: Partial<ReplicaTrack>,
  options: {readonly isUnlisted?: boolean} = {},
) {
  const node = new ServingNodeHarness().start();
  const replicaId = makeId<ReplicaId>('e0~1');
  const members = ['e0', 'e1'].map(one => makeId<VmId>(one));
  node.state.steward.tracks.set('e0~1#1', {
    key: 'e0~1#1',
    replicaId,
    epoch: 1,
    service: makeId<ServiceName>('desk'),
    model: makeId<ModelName>('model'),
    members,
    bornAtMs: new Map(members.map(one => [one, 1])),
    joinDeadlineMs: node.nowMs,
    isHeadLeaving: false,
    isClosed: false,
    phase: 'leaving',
    phaseSinceMs: node.nowMs,
    headSeenAtMs: node.nowMs,
    ...track,
  });
  const head: EngineRecord = {
    ...createTestEngine(0),
    revision: 11,
    membership: {replicaId, epoch: 1, rank: 0, stage: 'open'},
  };
  node.dispatch({
    type: 'fleetChanged',
    changes: [{vmId: head.vmId, revision: 11, engine: head}],
    revision: 11,
  });
  node.dispatch({
    type: 'orderAnswered',
    vmId: members[0]!,
    order: {kind: 'leave', replicaId, epoch: 1},
    outcome: 'refused',
  });
  const isTracked = () => node.state.steward.tracks.has('e0~1#1');
  assert.ok(isTracked(), 'released while the path may be at fault');
  node.answerProbes([members[0]!]);
  if (options.isUnlisted) {
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: members[0]!, revision: 12}],
      revision: 12,
    });
  }
  dissolveReplica(
    {state: node.state, nowMs: node.nowMs, effects: node.effects},
    node.state.steward.tracks.get('e0~1#1')!,
  );
  return isTracked();
}

describe('a head that refuses connections', () => {
  it('keeps its members reserved while it is leaving and may still be finishing its requests', () => {
    assert.equal(isTrackedAfterRefusal({isHeadLeaving: true}), true);
  });

  it('keeps its members reserved while the store lists it, since it may still be open', () => {
    assert.equal(isTrackedAfterRefusal({}), true);
  });

  it('releases its members when the store no longer lists it, or when it was already closed', () => {
    assert.equal(isTrackedAfterRefusal({}, {isUnlisted: true}), false);
    assert.equal(
      isTrackedAfterRefusal({isHeadLeaving: true, isClosed: true}),
      false,
    );
  });
});
