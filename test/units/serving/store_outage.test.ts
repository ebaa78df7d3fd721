import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EngineChange} from '../../../src/core/fleet/types.js';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';

const OUTAGE_MS = 4000;

function listedChange(at: number, revision: number): EngineChange {
  const engine = {...createTestEngine(at), revision};
  return {vmId: engine.vmId, revision, engine};
}

function removedChange(at: number, revision: number): EngineChange {
  return {vmId: createTestEngine(at).vmId, revision};
}

class StoreReadingNode extends ServingNodeHarness {
  /** Advances the time, with a proof of the engine list every 200 ms. */
  readFor(ms: number): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs;) {
      this.advance(200);
      this.dispatch({type: 'fleetProven', provenAtMs: this.nowMs});
    }
  }

  get targets(): string[] {
    return [...this.state.targets.keys()].sort();
  }
}

const startNode = () => new StoreReadingNode().start() as StoreReadingNode;

describe('engines after an outage of the store', () => {
  it('are kept although their entries expired, and removed when they are not listed again', () => {
    const node = startNode();
    node.readFor(3000);
    node.advance(OUTAGE_MS);
    node.dispatch({
      type: 'fleetListed',
      changes: [listedChange(0, 30)],
      revision: 30,
    });
    assert.deepEqual(node.targets, ['e0', 'e1', 'e2']);
    node.readFor(1000);
    node.dispatch({
      type: 'fleetChanged',
      changes: [listedChange(1, 31)],
      revision: 31,
    });
    node.readFor(1000);
    assert.deepEqual(node.targets, ['e0', 'e1', 'e2']);
    node.readFor(400);
    assert.deepEqual(node.targets, ['e0', 'e1']);
    assert.ok(node.state.departedEngines.has(createTestEngine(2).vmId));
  });

  it('are kept when a watch reports the removals after a response without changes', () => {
    const node = startNode();
    node.readFor(3000);
    node.advance(OUTAGE_MS);
    node.dispatch({type: 'fleetProven', provenAtMs: node.nowMs});
    node.dispatch({
      type: 'fleetChanged',
      changes: [
        removedChange(0, 30),
        removedChange(1, 31),
        removedChange(2, 32),
      ],
      revision: 32,
    });
    assert.equal(node.targets.length, 3);
    node.dispatch({
      type: 'fleetChanged',
      changes: [listedChange(0, 33), listedChange(1, 34)],
      revision: 34,
    });
    node.readFor(2400);
    assert.deepEqual(node.targets, ['e0', 'e1']);
  });

  it('are removed at once when the store was reachable or the steward reports the removal', () => {
    const node = startNode();
    node.readFor(3000);
    node.dispatch({
      type: 'fleetChanged',
      changes: [removedChange(0, 30)],
      revision: 30,
    });
    assert.deepEqual(node.targets, ['e1', 'e2']);
    node.advance(OUTAGE_MS);
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({
        isSteward: true,
        changes: [removedChange(1, 31)],
      }),
    });
    assert.deepEqual(node.targets, ['e2']);
  });
});
