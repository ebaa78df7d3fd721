import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServingNodeHarness} from '../../support/serving_node.js';

describe('stalls', () => {
  it('sends a stream on in the step that takes it from a silent target, however late it is', () => {
    const node = new ServingNodeHarness().start();
    node.arrive('streaming', {patienceMs: 1900});
    const [first] = node.take('startAttempt');
    assert.ok(first);
    // The others are nearly full: late requests have to wait for room there.
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

  it('leaves a stream where it is when no other target can take it', () => {
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

  it('does not move a stream whose events go on', () => {
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

  it('holds a request whose target turned it away for a while longer', () => {
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
