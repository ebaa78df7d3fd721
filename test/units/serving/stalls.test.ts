import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServingNodeHarness} from '../../support/serving_node.js';

describe('stalled streams', () => {
  it('moves a late stream from a silent target to another in one step, without waiting for room', () => {
    const node = new ServingNodeHarness().start();
    node.arrive('streaming', {patienceMs: 1900});
    const [first] = node.take('startAttempt');
    assert.ok(first);
    // The other engines are nearly full: late requests have to wait for a free slot there.
    const loads = [...node.state.engines.keys()].map(vmId => ({
      vmId,
      inFlight: 5,
      unreadTokens: 0,
      progressAgeMs: -1,
      isSuspect: false,
      isSlow: false,
    }));
    const cancelled: unknown[] = [];
    for (let at = 0; at < 40 && cancelled.length === 0; at++) {
      const digest = node.peerDigest({loads});
      node.dispatch({type: 'digestReceived', digest});
      node.pass(50);
      cancelled.push(...node.take('cancelAttempt'));
    }
    assert.equal(cancelled.length, 1);
    const [sent] = node.take('startAttempt');
    assert.ok(sent);
    assert.notEqual(sent.vmId, first.vmId);
    assert.equal(node.take('refuse').length, 0);
  });

  it('keeps a stream on its target when no other can take it', () => {
    const node = new ServingNodeHarness().start();
    const [, other, third] = [...node.state.engines.values()];
    node.dispatch({
      type: 'fleetChanged',
      revision: 50,
      changes: [other!, third!].map(({vmId}) => ({vmId, revision: 50})),
    });
    node.arrive('streaming');
    node.pass(1200);
    assert.equal(node.take('startAttempt').length, 1);
    assert.equal(node.take('cancelAttempt').length, 0);
    assert.equal(node.take('refuse').length, 0);
  });

  it('does not move a stream that still receives events', () => {
    const node = new ServingNodeHarness().start();
    node.arrive('streaming', {patienceMs: 5000});
    const [attempt] = node.take('startAttempt');
    const {attemptId} = attempt!;
    for (let at = 0; at < 8; at++) {
      node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
      node.pass(200);
    }
    assert.equal(node.take('cancelAttempt').length, 0);
  });

  it('queues a request instead of refusing it while peers report that all targets are full', () => {
    const node = new ServingNodeHarness().start();
    for (const {vmId} of [...node.state.engines.values()]) {
      const load = {
        vmId,
        inFlight: 30,
        unreadTokens: 0,
        progressAgeMs: 10,
        isSuspect: false,
        isSlow: false,
      };
      node.dispatch({
        type: 'digestReceived',
        digest: node.peerDigest({from: `n-${vmId}` as never, loads: [load]}),
      });
    }
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 0);
    assert.equal(node.take('refuse').length, 0);
  });
});
