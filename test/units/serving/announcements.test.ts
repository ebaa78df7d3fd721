import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ServingNodeHarness,
  createDeskEngine,
} from '../../support/serving_node.js';

const LEAVER = createDeskEngine(0);
const OTHERS = [1, 2].map(at => createDeskEngine(at).vmId);

/** Announces for every engine that it accepts no requests for the given time. */
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

describe('engines that announce that they are leaving', () => {
  it('receive no more requests until they restart', () => {
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

  it('are reported to peers with the age of the announcement, which a repeated report does not reset', () => {
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

  it('are used again when a report of a peer is not confirmed', () => {
    const node = new ServingNodeHarness().start();
    tellLeaving(node, 0);
    node.pass(19_000);
    assert.deepEqual(targetsOf(node), OTHERS);
    node.pass(1500);
    assert.equal(targetsOf(node).length, 3);
  });

  it('leave requests queued until another engine becomes available', () => {
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

describe('engines that announce a back-off period', () => {
  it('receive no requests during it, and callers are refused at once with the time until it ends', () => {
    const node = new ServingNodeHarness().start();
    announceAll(node, 1800);
    for (let leftMs = 1800; leftMs > 150; leftMs -= 150) {
      node.arrive('safe', {patienceMs: 60_000});
      const [refusal] = node.take('refuse');
      assert.equal(refusal?.status, 503);
      assert.ok(refusal.retryAfterMs! >= Math.min(150, leftMs));
      // Each node adds up to a fifth of the period as jitter, and each refusal up to half of the rest.
      assert.ok(refusal.retryAfterMs! <= (leftMs + 0.2 * 1800) * 1.5);
      node.pass(150);
    }
    assert.equal(node.take('startAttempt').length, 0);
    node.pass(150 + 0.2 * 1800);
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('are waited for when the period ends sooner than a caller could retry', () => {
    const node = new ServingNodeHarness().start();
    announceAll(node, 100);
    node.arrive('safe');
    assert.equal(node.take('refuse').length, 0);
    node.pass(150);
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('keep the longer of two announced periods', () => {
    const node = new ServingNodeHarness().start();
    announceAll(node, 5000);
    announceAll(node, 50);
    node.pass(2000);
    node.arrive('safe');
    assert.equal(node.take('refuse').length, 1);
  });

  it('are skipped while other engines accept requests', () => {
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

  it('are used again at a different time by each node of a fleet', () => {
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
