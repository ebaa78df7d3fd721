import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {LoadDigest} from '../../../src/core/serving/types.js';
import {
  needsConfigWatch,
  needsFleetWatch,
} from '../../../src/core/serving/index.js';
import {
  ServingNodeHarness,
  createTestConfig,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {makeId} from '../../../src/core/ids/index.js';
import type {NodeId, ZoneId} from '../../../src/core/ids/index.js';

/** Offset of the peer's clock from the node's: monotonic clocks have arbitrary origins. */
const PEER_CLOCK_MS = -777_000;
/** The node with the lowest id of a zone watches the store: this one precedes `n0`. */
const WATCHER_ID = makeId<NodeId>('m0');

class PeerFedNode extends ServingNodeHarness {
  /** Delivers digests of the peer at the interval at which nodes send them. */
  receiveFor(
    ms: number,
    overridesAt: (nowMs: number) => Partial<LoadDigest>,
  ): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs;) {
      this.advance(100, {isProven: false});
      this.dispatch({
        type: 'digestReceived',
        digest: this.createDigest(overridesAt),
      });
    }
  }

  createDigest(
    overridesAt: (nowMs: number) => Partial<LoadDigest>,
  ): LoadDigest {
    return this.createPeerDigest({
      from: WATCHER_ID,
      sentAtMs: this.nowMs + PEER_CLOCK_MS,
      ...overridesAt(this.nowMs),
    });
  }

  get needsConfig(): boolean {
    return needsConfigWatch(this.state, this.nowMs);
  }

  get needsFleet(): boolean {
    return needsFleetWatch(this.state, this.nowMs);
  }
}

const configProof = () => ({configProofAgeMs: 300});
const stewardProof = () => ({isSteward: true, fleetProofAgeMs: 200});

function startNode(): PeerFedNode {
  return new PeerFedNode().start() as PeerFedNode;
}

describe('nodes that receive the state of the store from peers', () => {
  it('serves while a peer sends proofs of the configuration, without watching the store', () => {
    const node = startNode();
    node.receiveFor(20_000, configProof);
    assert.equal(node.needsConfig, false);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('watches the store when proofs stop, and refuses all API keys while it does not answer', () => {
    const node = startNode();
    node.receiveFor(5000, configProof);
    node.advance(1000, {isProven: false});
    node.receiveFor(1500, () => ({configProofAgeMs: -1}));
    assert.equal(node.needsConfig, true);
    node.advance(2500, {isProven: false});
    node.submitRequest('safe');
    assert.equal(node.takeEffects('refuse')[0]?.status, 503);
    node.dispatch({type: 'configRead', provenAtMs: node.nowMs});
    node.advance(100);
    const lines = node
      .takeEffects('log')
      .filter(({area}) => area === 'config')
      .map(({message}) => message);
    assert.deepEqual(lines.slice(-2), [
      'configuration unproven',
      'configuration proven',
    ]);
  });

  it('ages a proof from when it was sent, not from when it was read', () => {
    const node = startNode();
    node.receiveFor(5000, configProof);
    const delayed = node.createDigest(configProof);
    // The process is paused while the digest waits in its socket.
    node.nowMs += 10_000;
    node.dispatch({type: 'digestReceived', digest: delayed});
    node.submitRequest('safe');
    assert.equal(node.takeEffects('refuse')[0]?.status, 503);
    assert.equal(node.needsConfig, true);
  });

  it('ignores the proof of a peer that has just restarted', () => {
    const node = startNode();
    node.receiveFor(5000, configProof);
    node.advance(3900, {isProven: false});
    const restarted = node.createDigest(() => ({
      ...configProof(),
      incarnation: 2,
      sentAtMs: 5,
    }));
    node.dispatch({type: 'digestReceived', digest: restarted});
    node.advance(500, {isProven: false});
    node.submitRequest('safe');
    assert.equal(node.takeEffects('refuse')[0]?.status, 503);
  });

  it('ignores proofs of a configuration version other than its own', () => {
    const node = startNode();
    node.receiveFor(5000, () => ({...configProof(), configVersion: 2}));
    assert.equal(node.needsConfig, true);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('refuse')[0]?.status, 503);
    node.dispatch({
      type: 'configRead',
      config: createTestConfig(2),
      provenAtMs: -Infinity,
    });
    node.receiveFor(200, () => ({...configProof(), configVersion: 2}));
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('watches the configuration when no other node of its zone does', () => {
    const node = startNode();
    node.receiveFor(5000, () => ({
      ...configProof(),
      zone: makeId<ZoneId>('other'),
    }));
    assert.equal(node.needsConfig, true);
    node.receiveFor(500, () => ({...configProof(), isLeaving: true}));
    assert.equal(node.needsConfig, true);
    node.receiveFor(500, configProof);
    assert.equal(node.needsConfig, false);
    node.advance(700, {isProven: false});
    assert.equal(node.needsConfig, true);
  });

  it("does not watch the engines while the steward's list is recent and equal to its own", () => {
    const node = startNode();
    assert.equal(node.needsFleet, true);
    node.receiveFor(5000, stewardProof);
    assert.equal(node.needsFleet, false);
    node.advance(700, {isProven: false});
    assert.equal(node.needsFleet, true, 'the steward stopped sending digests');
    node.receiveFor(5000, stewardProof);
    node.receiveFor(300, () => ({
      ...stewardProof(),
      fleetProofAgeMs: 1600,
    }));
    assert.equal(node.needsFleet, true, 'the steward lost the store');
    node.receiveFor(300, () => ({isSteward: false}));
    assert.equal(node.needsFleet, true, 'no steward');
  });

  it('watches the engines itself when a change was lost in transit', () => {
    const node = startNode();
    node.receiveFor(5000, stewardProof);
    const withoutEngine = () => ({
      ...stewardProof(),
      engineCount: 2,
      revisionSum: 5,
    });
    node.receiveFor(200, withoutEngine);
    assert.equal(
      node.needsFleet,
      false,
      'the next digest may contain the change',
    );
    node.receiveFor(300, withoutEngine);
    assert.equal(node.needsFleet, true);
    const removed = createTestEngine(0);
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: removed.vmId, revision: 20}],
      revision: 20,
    });
    node.receiveFor(100, withoutEngine);
    assert.equal(node.needsFleet, false);
  });

  it('dates its own last read of the store separately from proofs of peers', () => {
    const node = startNode();
    node.receiveFor(5000, configProof);
    assert.ok(node.state.configProvenAtMs > node.nowMs - 1000);
    assert.ok(node.state.configReadAtMs < node.nowMs - 4000);
  });
});
