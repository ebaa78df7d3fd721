import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {LoadDigest} from '../../../src/core/serving/types.js';
import {
  needsConfigWatch,
  needsFleetWatch,
} from '../../../src/core/serving/index.js';
import {
  ServingNodeHarness,
  createDeskConfig,
  createDeskEngine,
} from '../../support/serving_node.js';
import {makeId} from '../../../src/core/ids/index.js';
import type {NodeId, ZoneId} from '../../../src/core/ids/index.js';

/** Offset of the peer's clock from the node's: monotonic clocks have arbitrary origins. */
const PEER_CLOCK_MS = -777_000;
/** The node with the lowest name of a zone watches the store: this one precedes `n0`. */
const WATCHER = makeId<NodeId>('m0');

class ToldNode extends ServingNodeHarness {
  /** Delivers digests of the peer at the interval at which nodes send them. */
  hear(ms: number, more: (nowMs: number) => Partial<LoadDigest>): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs;) {
      this.pass(100, {isProven: false});
      this.dispatch({type: 'digestReceived', digest: this.tell(more)});
    }
  }

  tell(more: (nowMs: number) => Partial<LoadDigest>): LoadDigest {
    return this.peerDigest({
      from: WATCHER,
      sentAtMs: this.nowMs + PEER_CLOCK_MS,
      ...more(this.nowMs),
    });
  }

  get needsConfig(): boolean {
    return needsConfigWatch(this.state, this.nowMs);
  }

  get needsFleet(): boolean {
    return needsFleetWatch(this.state, this.nowMs);
  }
}

const proof = () => ({configProofAgeMs: 300});
const steward = () => ({isSteward: true, fleetProofAgeMs: 200});

function startNode(): ToldNode {
  return new ToldNode().start() as ToldNode;
}

describe('nodes that receive the state of the store from peers', () => {
  it('serves while a peer confirms the configuration, without watching the store', () => {
    const node = startNode();
    node.hear(20_000, proof);
    assert.equal(node.needsConfig, false);
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('watches the store when confirmations stop, and rejects all API keys while it does not answer', () => {
    const node = startNode();
    node.hear(5000, proof);
    node.pass(1000, {isProven: false});
    node.hear(1500, () => ({configProofAgeMs: -1}));
    assert.equal(node.needsConfig, true);
    node.pass(2500, {isProven: false});
    node.arrive('safe');
    assert.equal(node.take('refuse')[0]?.status, 503);
    node.dispatch({type: 'configRead', provenAtMs: node.nowMs});
    node.pass(100);
    const lines = node
      .take('log')
      .filter(({area}) => area === 'config')
      .map(({message}) => message);
    assert.deepEqual(lines.slice(-2), [
      'configuration unproven',
      'configuration proven',
    ]);
  });

  it('ages a confirmation from when it was sent, not from when it was read', () => {
    const node = startNode();
    node.hear(5000, proof);
    const old = node.tell(proof);
    // The process is paused while the digest waits in its socket.
    node.nowMs += 10_000;
    node.dispatch({type: 'digestReceived', digest: old});
    node.arrive('safe');
    assert.equal(node.take('refuse')[0]?.status, 503);
    assert.equal(node.needsConfig, true);
  });

  it('ignores the confirmation of a peer that has just restarted', () => {
    const node = startNode();
    node.hear(5000, proof);
    node.pass(3900, {isProven: false});
    const reborn = node.tell(() => ({...proof(), life: 2, sentAtMs: 5}));
    node.dispatch({type: 'digestReceived', digest: reborn});
    node.pass(500, {isProven: false});
    node.arrive('safe');
    assert.equal(node.take('refuse')[0]?.status, 503);
  });

  it('ignores confirmations of a configuration version other than its own', () => {
    const node = startNode();
    node.hear(5000, () => ({...proof(), configVersion: 2}));
    assert.equal(node.needsConfig, true);
    node.arrive('safe');
    assert.equal(node.take('refuse')[0]?.status, 503);
    node.dispatch({
      type: 'configRead',
      config: createDeskConfig(2),
      provenAtMs: -Infinity,
    });
    node.hear(200, () => ({...proof(), configVersion: 2}));
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('watches the configuration when no other node of its zone does', () => {
    const node = startNode();
    node.hear(5000, () => ({...proof(), zone: makeId<ZoneId>('other')}));
    assert.equal(node.needsConfig, true);
    node.hear(500, () => ({...proof(), isLeaving: true}));
    assert.equal(node.needsConfig, true);
    node.hear(500, proof);
    assert.equal(node.needsConfig, false);
    node.pass(700, {isProven: false});
    assert.equal(node.needsConfig, true);
  });

  it("does not watch the engines while the steward's list is recent and equal to its own", () => {
    const node = startNode();
    assert.equal(node.needsFleet, true);
    node.hear(5000, steward);
    assert.equal(node.needsFleet, false);
    node.pass(700, {isProven: false});
    assert.equal(node.needsFleet, true, 'the steward stopped sending digests');
    node.hear(5000, steward);
    node.hear(300, () => ({...steward(), fleetProofAgeMs: 1600}));
    assert.equal(node.needsFleet, true, 'the steward lost the store');
    node.hear(300, () => ({isSteward: false}));
    assert.equal(node.needsFleet, true, 'no steward');
  });

  it('watches the engines itself when a change was lost in transit', () => {
    const node = startNode();
    node.hear(5000, steward);
    const without = () => ({...steward(), engineCount: 2, revisionSum: 5});
    node.hear(200, without);
    assert.equal(
      node.needsFleet,
      false,
      'the next digest may contain the change',
    );
    node.hear(300, without);
    assert.equal(node.needsFleet, true);
    const left = createDeskEngine(0);
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: left.vmId, revision: 20}],
      revision: 20,
    });
    node.hear(100, without);
    assert.equal(node.needsFleet, false);
  });

  it('dates its own last read of the store separately from confirmations by peers', () => {
    const node = startNode();
    node.hear(5000, proof);
    assert.ok(node.state.configProvenAtMs > node.nowMs - 1000);
    assert.ok(node.state.configReadAtMs < node.nowMs - 4000);
  });
});
