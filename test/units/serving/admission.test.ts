import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ServingNodeHarness,
  createTestConfig,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {isReady, resolveEntries} from '../../../src/core/serving/index.js';

function createNode(): ServingNodeHarness {
  return new ServingNodeHarness().start();
}

describe('admission', () => {
  it('answers 503, not 404 or 401, before it has a configuration', () => {
    const node = new ServingNodeHarness();
    node.submitRequest('safe');
    const [refusal] = node.takeEffects('refuse');
    assert.equal(refusal?.status, 503);
    assert.ok(refusal!.retryAfterMs! > 0);
  });

  it('answers 404 to a path without a route and 401 to an unknown API key', () => {
    const node = createNode();
    node.submitRequest('safe', {path: '/nowhere/x'});
    node.submitRequest('safe', {apiKey: 'stolen'});
    node.submitRequest('safe', {apiKey: undefined});
    const statuses = node.takeEffects('refuse').map(({status}) => status);
    assert.deepEqual(statuses, [404, 401, 401]);
  });

  it('refuses all API keys when the proof of the configuration is too old', () => {
    const node = createNode();
    node.advance(4200, {isProven: false});
    node.takeEffects('refuse');
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 0);
    assert.equal(node.takeEffects('refuse')[0]?.status, 503);
    assert.equal(isReady(node.state, node.nowMs), false);
    node.dispatch({type: 'configRead', provenAtMs: node.nowMs});
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('never reverts to an older configuration', () => {
    const node = createNode();
    const applyConfig = (version: number) =>
      node.dispatch({
        type: 'configRead',
        config: createTestConfig(version),
        provenAtMs: node.nowMs,
      });
    applyConfig(2);
    applyConfig(1);
    node.submitRequest('safe', {path: '/new/x'});
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('accepts requests for three seconds after the leave signal, then answers 503 and exits', () => {
    const node = createNode();
    const requestId = node.submitRequest('safe');
    const [attempt] = node.takeEffects('startAttempt');
    node.dispatch({type: 'leaveRequested'});
    assert.equal(isReady(node.state, node.nowMs), false);
    node.advance(1000);
    node.submitRequest('safe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
    node.advance(2050);
    node.takeEffects('refuse');
    node.submitRequest('safe');
    const [refusal] = node.takeEffects('refuse');
    assert.equal(refusal?.status, 503);
    assert.notEqual(refusal?.requestId, requestId);
    assert.equal(attempt?.requestId, requestId);
    node.advance(200);
    assert.equal(node.takeEffects('exit').length, 1);
  });

  it('resolves to itself and to peers with a recent digest that are not leaving', () => {
    const node = createNode();
    node.dispatch({type: 'digestReceived', digest: node.createPeerDigest()});
    assert.deepEqual(resolveEntries(node.state, node.nowMs), [
      '10.0.0.1:80',
      '10.0.0.2:80',
    ]);
    const leaving = node.createPeerDigest({isLeaving: true});
    node.dispatch({type: 'digestReceived', digest: leaving});
    assert.deepEqual(resolveEntries(node.state, node.nowMs), ['10.0.0.1:80']);
  });

  it('resolves to no addresses when it has lost contact with most of its peers', () => {
    const node = createNode();
    for (const id of ['n1', 'n2', 'n3']) {
      const digest = node.createPeerDigest({from: id as never});
      node.dispatch({type: 'digestReceived', digest});
    }
    node.advance(1000);
    assert.equal(resolveEntries(node.state, node.nowMs), undefined);
  });

  it('keeps the newer record of an engine, whether it came from a peer or from the store', () => {
    const node = createNode();
    const engine = {...createTestEngine(0), revision: 30, isLeaving: true};
    const digest = node.createPeerDigest({
      isSteward: true,
      changes: [{vmId: engine.vmId, revision: 30, engine}],
    });
    node.dispatch({type: 'digestReceived', digest});
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: engine.vmId, revision: 20, engine: createTestEngine(0)}],
      revision: 20,
    });
    assert.equal(node.state.engines.get(engine.vmId)?.isLeaving, true);
    assert.equal(node.state.targets.has(engine.vmId), false);
  });
});
