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

/** Offset of the peer's clock to the node's: clocks start anywhere. */
const PEER_CLOCK_MS = -777_000;
/** Nodes select the watcher by name: this one goes before `n0`. */
const WATCHER = makeId<NodeId>('m0');

class ToldNode extends ServingNodeHarness {
  /** Hears the peer for a while, as often as nodes tell each other. */
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

describe('nodes that peers tell what the store says', () => {
  it('serves on proofs of a peer, and leaves the store alone', () => {
    const node = startNode();
    node.hear(20_000, proof);
    assert.equal(node.needsConfig, false);
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('asks the store when proofs stop, and lets no key in when it does not answer', () => {
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

  it('dates a proof that was read late by when it was sent', () => {
    const node = startNode();
    node.hear(5000, proof);
    const old = node.tell(proof);
    // The node stands still; the digest waits in its socket.
    node.nowMs += 10_000;
    node.dispatch({type: 'digestReceived', digest: old});
    node.arrive('safe');
    assert.equal(node.take('refuse')[0]?.status, 503);
    assert.equal(node.needsConfig, true);
  });

  it('takes no proof of a life of a peer that it hardly knows', () => {
    const node = startNode();
    node.hear(5000, proof);
    node.pass(3900, {isProven: false});
    const reborn = node.tell(() => ({...proof(), life: 2, sentAtMs: 5}));
    node.dispatch({type: 'digestReceived', digest: reborn});
    node.pass(500, {isProven: false});
    node.arrive('safe');
    assert.equal(node.take('refuse')[0]?.status, 503);
  });

  it('takes no proof of another version than its own', () => {
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

  it('watches for its zone when no other node there does', () => {
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

  it('leaves the engines to the steward while its reading is recent and alike', () => {
    const node = startNode();
    assert.equal(node.needsFleet, true);
    node.hear(5000, steward);
    assert.equal(node.needsFleet, false);
    node.pass(700, {isProven: false});
    assert.equal(node.needsFleet, true, 'a steward that went silent');
    node.hear(5000, steward);
    node.hear(300, () => ({...steward(), fleetProofAgeMs: 1600}));
    assert.equal(node.needsFleet, true, 'a steward that the store left');
    node.hear(300, () => ({isSteward: false}));
    assert.equal(node.needsFleet, true, 'no steward');
  });

  it('reads the engines itself when a change was lost on the way', () => {
    const node = startNode();
    node.hear(5000, steward);
    const without = () => ({...steward(), engineCount: 2, revisionSum: 5});
    node.hear(200, without);
    assert.equal(node.needsFleet, false, 'the next digest may bring it');
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

  it('tells peers the age of its own reading, never of what it was told', () => {
    const node = startNode();
    node.hear(5000, proof);
    assert.ok(node.state.configProvenAtMs > node.nowMs - 1000);
    assert.ok(node.state.configReadAtMs < node.nowMs - 4000);
  });
});
