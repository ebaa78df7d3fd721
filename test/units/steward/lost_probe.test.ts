import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
  ModelName,
  ReplicaId,
  ServiceName,
  VmId,
} from '../../../src/core/ids/index.js';
import {ServingNodeHarness} from '../../support/serving_node_harness.js';
import {makeId} from '../../../src/core/ids/index.js';

const [HEAD, MEMBER] = ['e0', 'e1'].map(one => makeId<VmId>(one));

/** A steward with a replica of two engines whose head it has probed. */
function startSteward(): ServingNodeHarness {
  const node = new ServingNodeHarness().start();
  const members = [HEAD!, MEMBER!];
  node.state.steward.tracks.set('e0~1#1', {
    key: 'e0~1#1',
    replicaId: makeId<ReplicaId>('e0~1'),
    epoch: 1,
    service: makeId<ServiceName>('desk'),
    model: makeId<ModelName>('model'),
    members,
    bornAtMs: new Map(members.map(one => [one, 1])),
    joinDeadlineMs: node.nowMs,
    isHeadLeaving: false,
    isClosed: false,
    phase: 'open',
    phaseSinceMs: node.nowMs,
    headSeenAtMs: node.nowMs,
  });
  const probe = {
    sentAtMs: node.nowMs,
    answeredAtMs: -Infinity,
    unansweredCount: 0,
  };
  node.state.steward.probes.set(HEAD!, probe);
  return node;
}

function probeHead(
  node: ServingNodeHarness,
  outcome: 'answered' | 'silent',
): void {
  node.nowMs += 300;
  node.dispatch({type: 'probeAnswered', vmId: HEAD!, outcome});
  node.answerProbes([HEAD!]);
}

describe('a probe that is lost in transit', () => {
  it('is no loss of an engine that answered shortly before', () => {
    const node = startSteward();
    probeHead(node, 'answered');
    probeHead(node, 'silent');
    assert.equal(node.state.lostEngines.size, 0);
    probeHead(node, 'silent');
    assert.ok(node.state.lostEngines.has(HEAD!));
  });

  it('suffices while another member of the replica answers', () => {
    const node = startSteward();
    node.state.steward.probes.set(MEMBER!, {
      sentAtMs: node.nowMs + 100,
      answeredAtMs: node.nowMs + 200,
      unansweredCount: 0,
    });
    probeHead(node, 'silent');
    assert.ok(node.state.lostEngines.has(HEAD!));
  });
});
