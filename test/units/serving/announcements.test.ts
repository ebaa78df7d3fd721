import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ServingNodeHarness,
  createDeskEngine,
} from '../../support/serving_node.js';

const LEAVER = createDeskEngine(0);
const OTHERS = [1, 2].map(at => createDeskEngine(at).vmId);

/** The same answer to each engine: it wants no requests. */
function announceAll(node: ServingNodeHarness, quietMs: number): void {
  for (const at of [0, 1, 2]) {
    const {vmId} = createDeskEngine(at);
    node.dispatch({type: 'engineAnnounced', vmId, isLeaving: false, quietMs});
  }
}

function tellLeaving(node: ServingNodeHarness, ageMs: number): void {
  const {vmId, bornAtMs} = LEAVER;
  node.dispatch({
    type: 'digestReceived',
    digest: node.peerDigest({leavingEngines: [{vmId, bornAtMs, ageMs}]}),
  });
}

const targetsOf = (node: ServingNodeHarness) => [...node.state.targets.keys()];

describe('engines that say they leave', () => {
  it('get nothing more in this life, whatever later answers say', () => {
    const node = new ServingNodeHarness().start();
    node.dispatch({
      type: 'engineAnnounced',
      vmId: LEAVER.vmId,
      isLeaving: true,
    });
    assert.deepEqual(targetsOf(node), OTHERS);
    node.pass(90_000);
    assert.deepEqual(targetsOf(node), OTHERS);
    const born = {...LEAVER, bornAtMs: LEAVER.bornAtMs + 1, revision: 40};
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: LEAVER.vmId, revision: 40, engine: born}],
      revision: 40,
    });
    assert.equal(targetsOf(node).length, 3);
  });

  it('are told to peers with the age of their word, which peers repeat without dating it anew', () => {
    const node = new ServingNodeHarness().start();
    tellLeaving(node, 4000);
    assert.deepEqual(targetsOf(node), OTHERS);
    node.pass(3000);
    tellLeaving(node, 0);
    node.take('sendDigest');
    node.dispatch({type: 'digestDue', isUrgent: true});
    const [sent] = node.take('sendDigest');
    const [told] = sent!.digest.leavingEngines;
    assert.equal(told!.vmId, LEAVER.vmId);
    assert.equal(told!.ageMs, 7000);
  });

  it('are used again after a peer was mistaken', () => {
    const node = new ServingNodeHarness().start();
    tellLeaving(node, 0);
    node.pass(19_000);
    assert.deepEqual(targetsOf(node), OTHERS);
    node.pass(1500);
    assert.equal(targetsOf(node).length, 3);
  });

  it('hold what waits for them until another engine can take it', () => {
    const node = new ServingNodeHarness().start();
    for (const at of [0, 1, 2]) {
      const {vmId} = createDeskEngine(at);
      node.dispatch({type: 'engineAnnounced', vmId, isLeaving: true});
    }
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 0);
    const next = {...createDeskEngine(3), revision: 40};
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: next.vmId, revision: 40, engine: next}],
      revision: 40,
    });
    const [sent] = node.take('startAttempt');
    assert.equal(sent?.vmId, next.vmId);
  });
});

describe('engines that want no requests for a time', () => {
  it('get none until then, and callers are told at once when the first takes some', () => {
    const node = new ServingNodeHarness().start();
    announceAll(node, 1800);
    for (let leftMs = 1800; leftMs > 150; leftMs -= 150) {
      node.arrive('safe', {patienceMs: 60_000});
      const [refusal] = node.take('refuse');
      assert.equal(refusal?.status, 503);
      assert.ok(refusal.retryAfterMs! >= Math.min(150, leftMs));
      // A fifth later at this node, and up to half later again for one caller.
      assert.ok(refusal.retryAfterMs! <= (leftMs + 0.2 * 1800) * 1.5);
      node.pass(150);
    }
    assert.equal(node.take('startAttempt').length, 0);
    node.pass(150 + 0.2 * 1800);
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('are waited for when they take requests sooner than a caller could come back', () => {
    const node = new ServingNodeHarness().start();
    announceAll(node, 100);
    node.arrive('safe');
    assert.equal(node.take('refuse').length, 0);
    node.pass(150);
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('keep the longer of two times', () => {
    const node = new ServingNodeHarness().start();
    announceAll(node, 5000);
    announceAll(node, 50);
    node.pass(2000);
    node.arrive('safe');
    assert.equal(node.take('refuse').length, 1);
  });

  it('are passed over while others take requests', () => {
    const node = new ServingNodeHarness().start();
    const {vmId} = LEAVER;
    node.dispatch({
      type: 'engineAnnounced',
      vmId,
      isLeaving: false,
      quietMs: 10_000,
    });
    for (let count = 0; count < 9; count++) node.arrive('safe');
    const sent = node.take('startAttempt');
    assert.equal(sent.length, 9);
    assert.ok(sent.every(one => one.vmId !== vmId));
  });

  it('are reached by the nodes of a fleet one after the other again', () => {
    const returns = new Set<number>();
    for (let seed = 1; seed <= 20; seed++) {
      const node = new ServingNodeHarness({}, seed).start();
      announceAll(node, 2000);
      returns.add(Math.min(...node.state.announcements.quiet.values()));
    }
    assert.equal(returns.size, 20);
    assert.ok(Math.max(...returns) - Math.min(...returns) > 200);
  });
});
