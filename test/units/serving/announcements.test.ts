import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';

const LEAVING_ENGINE = createTestEngine(0);
const OTHER_VM_IDS = [1, 2].map(at => createTestEngine(at).vmId);

/** Announces for every engine that it accepts no requests for the given time. */
function announceBackoffOfAll(
  node: ServingNodeHarness,
  backoffMs: number,
): void {
  for (const at of [0, 1, 2]) {
    const {vmId} = createTestEngine(at);
    node.dispatch({type: 'engineAnnounced', vmId, isLeaving: false, backoffMs});
  }
}

function receiveLeavingReport(node: ServingNodeHarness, ageMs: number): void {
  const {vmId, bornAtMs} = LEAVING_ENGINE;
  node.dispatch({
    type: 'digestReceived',
    digest: node.createPeerDigest({leavingEngines: [{vmId, bornAtMs, ageMs}]}),
  });
}

const targetIdsOf = (node: ServingNodeHarness) => [
  ...node.state.targets.keys(),
];

describe('engines that announce that they are leaving', () => {
  it('receive no more requests until they restart', () => {
    const node = new ServingNodeHarness().start();
    node.dispatch({
      type: 'engineAnnounced',
      vmId: LEAVING_ENGINE.vmId,
      isLeaving: true,
    });
    assert.deepEqual(targetIdsOf(node), OTHER_VM_IDS);
    node.advance(90_000);
    assert.deepEqual(targetIdsOf(node), OTHER_VM_IDS);
    const restarted = {
      ...LEAVING_ENGINE,
      bornAtMs: LEAVING_ENGINE.bornAtMs + 1,
      revision: 40,
    };
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: LEAVING_ENGINE.vmId, revision: 40, engine: restarted}],
      revision: 40,
    });
    assert.equal(targetIdsOf(node).length, 3);
  });

  it('are reported to peers with the age of the announcement, which a later report does not reset', () => {
    const node = new ServingNodeHarness().start();
    receiveLeavingReport(node, 4000);
    assert.deepEqual(targetIdsOf(node), OTHER_VM_IDS);
    node.advance(3000);
    receiveLeavingReport(node, 0);
    node.takeEffects('sendDigest');
    node.dispatch({type: 'digestDue', isUrgent: true});
    const [sent] = node.takeEffects('sendDigest');
    const [report] = sent!.digest.leavingEngines;
    assert.equal(report!.vmId, LEAVING_ENGINE.vmId);
    assert.equal(report!.ageMs, 7000);
  });

  it('are used again when a report of a peer is not confirmed', () => {
    const node = new ServingNodeHarness().start();
    receiveLeavingReport(node, 0);
    node.advance(19_000);
    assert.deepEqual(targetIdsOf(node), OTHER_VM_IDS);
    node.advance(1500);
    assert.equal(targetIdsOf(node).length, 3);
  });

  it('leave requests queued until another engine becomes available', () => {
    const node = new ServingNodeHarness().start();
    for (const at of [0, 1, 2]) {
      const {vmId} = createTestEngine(at);
      node.dispatch({type: 'engineAnnounced', vmId, isLeaving: true});
    }
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 0);
    const newEngine = {...createTestEngine(3), revision: 40};
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: newEngine.vmId, revision: 40, engine: newEngine}],
      revision: 40,
    });
    const [sent] = node.takeEffects('startAttempt');
    assert.equal(sent?.vmId, newEngine.vmId);
  });
});

describe('engines that announce a back-off period', () => {
  it('receive no requests during it, and callers are refused at once with the time until it ends', () => {
    const node = new ServingNodeHarness().start();
    announceBackoffOfAll(node, 1800);
    for (let remainingMs = 1800; remainingMs > 150; remainingMs -= 150) {
      node.submitRequest('safe', {callerTimeoutMs: 60_000});
      const [refusal] = node.takeEffects('refuse');
      assert.equal(refusal?.status, 503);
      assert.ok(refusal.retryAfterMs! >= Math.min(150, remainingMs));
      // Each node adds up to a fifth of the period as jitter, and each refusal up to half of the rest.
      assert.ok(refusal.retryAfterMs! <= (remainingMs + 0.2 * 1800) * 1.5);
      node.advance(150);
    }
    assert.equal(node.takeEffects('startAttempt').length, 0);
    node.advance(150 + 0.2 * 1800);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('are waited for when the period ends sooner than a caller could retry', () => {
    const node = new ServingNodeHarness().start();
    announceBackoffOfAll(node, 100);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('refuse').length, 0);
    node.advance(150);
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('keep the longer of two announced periods', () => {
    const node = new ServingNodeHarness().start();
    announceBackoffOfAll(node, 5000);
    announceBackoffOfAll(node, 50);
    node.advance(2000);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('refuse').length, 1);
  });

  it('are skipped while other engines accept requests', () => {
    const node = new ServingNodeHarness().start();
    const {vmId} = LEAVING_ENGINE;
    node.dispatch({
      type: 'engineAnnounced',
      vmId,
      isLeaving: false,
      backoffMs: 10_000,
    });
    for (let count = 0; count < 9; count++) node.submitRequest('safe');
    const sent = node.takeEffects('startAttempt');
    assert.equal(sent.length, 9);
    assert.ok(sent.every(one => one.vmId !== vmId));
  });

  it('are used again at a different time by each node of a fleet', () => {
    const backoffEndsMs = new Set<number>();
    for (let seed = 1; seed <= 20; seed++) {
      const node = new ServingNodeHarness({}, seed).start();
      announceBackoffOfAll(node, 2000);
      backoffEndsMs.add(
        Math.min(...node.state.announcements.backoffUntilMs.values()),
      );
    }
    assert.equal(backoffEndsMs.size, 20);
    assert.ok(Math.max(...backoffEndsMs) - Math.min(...backoffEndsMs) > 200);
  });
});
