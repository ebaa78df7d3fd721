import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ReplicaTrack} from '../../../src/core/steward/types.js';
import type {
  ModelName,
  ReplicaId,
  ServiceName,
  VmId,
} from '../../../src/core/ids/index.js';
import {ServingNodeHarness} from '../../support/serving_node_harness.js';
import {makeId} from '../../../src/core/ids/index.js';

/** Whether a steward still tracks a replica after its head e0 refused the connection of an order to leave, and another engine answered. */
function isTrackedAfterRefusal(track: Partial<ReplicaTrack>) {
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
  node.dispatch({
    type: 'orderAnswered',
    vmId: members[0]!,
    order: {kind: 'leave', replicaId, epoch: 1},
    outcome: 'refused',
  });
  const isTracked = () => node.state.steward.tracks.has('e0~1#1');
  assert.ok(isTracked(), 'released while the path may be at fault');
  node.answerProbes([members[0]!]);
  return isTracked();
}

describe('a head that refuses connections', () => {
  it('keeps its members reserved while it is leaving and may still be finishing its requests', () => {
    assert.equal(isTrackedAfterRefusal({isHeadLeaving: true}), true);
  });

  it('releases its members when it has ended, or was already closed', () => {
    assert.equal(isTrackedAfterRefusal({}), false);
    assert.equal(
      isTrackedAfterRefusal({isHeadLeaving: true, isClosed: true}),
      false,
    );
  });
});
