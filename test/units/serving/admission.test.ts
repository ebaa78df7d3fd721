import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ServingNodeHarness,
  createDeskConfig,
  createDeskEngine,
} from '../../support/serving_node.js';
import {isReady, resolveEntries} from '../../../src/core/serving/index.js';

function createNode(): ServingNodeHarness {
  return new ServingNodeHarness().start();
}

describe('admission', () => {
  it('answers 503, not 404 or 401, before it has a configuration', () => {
    const node = new ServingNodeHarness();
    node.arrive('safe');
    const [refusal] = node.take('refuse');
    assert.equal(refusal?.status, 503);
    assert.ok(refusal!.retryAfterMs! > 0);
  });

  it('answers 404 to a path without a route and 401 to an unknown API key', () => {
    const node = createNode();
    node.arrive('safe', {path: '/nowhere/x'});
    node.arrive('safe', {apiKey: 'stolen'});
    node.arrive('safe', {apiKey: undefined});
    const statuses = node.take('refuse').map(({status}) => status);
    assert.deepEqual(statuses, [404, 401, 401]);
  });

  it('rejects all API keys when the configuration was last confirmed too long ago', () => {
    const node = createNode();
    node.pass(4200, {isProven: false});
    node.take('refuse');
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 0);
    assert.equal(node.take('refuse')[0]?.status, 503);
    assert.equal(isReady(node.state, node.nowMs), false);
    node.dispatch({type: 'configRead', provenAtMs: node.nowMs});
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('never reverts to an older configuration', () => {
    const node = createNode();
    const applyConfig = (version: number) =>
      node.dispatch({
        type: 'configRead',
        config: createDeskConfig(version),
        provenAtMs: node.nowMs,
      });
    applyConfig(2);
    applyConfig(1);
    node.arrive('safe', {path: '/new/x'});
    assert.equal(node.take('startAttempt').length, 1);
  });

  it('accepts requests for three seconds after the leave signal, then answers 503 and exits', () => {
    const node = createNode();
    const requestId = node.arrive('safe');
    const [attempt] = node.take('startAttempt');
    node.dispatch({type: 'leaveRequested'});
    assert.equal(isReady(node.state, node.nowMs), false);
    node.pass(1000);
    node.arrive('safe');
    assert.equal(node.take('startAttempt').length, 1);
    node.pass(2050);
    node.take('refuse');
    node.arrive('safe');
    const [refusal] = node.take('refuse');
    assert.equal(refusal?.status, 503);
    assert.notEqual(refusal?.requestId, requestId);
    assert.equal(attempt?.requestId, requestId);
    node.pass(200);
    assert.equal(node.take('exit').length, 1);
  });

  it('resolves to itself and to peers with a recent digest that are not leaving', () => {
    const node = createNode();
    node.dispatch({type: 'digestReceived', digest: node.peerDigest()});
    assert.deepEqual(resolveEntries(node.state, node.nowMs), [
      '10.0.0.1:80',
      '10.0.0.2:80',
    ]);
    const leaving = node.peerDigest({isLeaving: true});
    node.dispatch({type: 'digestReceived', digest: leaving});
    assert.deepEqual(resolveEntries(node.state, node.nowMs), ['10.0.0.1:80']);
  });

  it('resolves to no addresses when it has lost contact with most of its peers', () => {
    const node = createNode();
    for (const id of ['n1', 'n2', 'n3']) {
      const digest = node.peerDigest({from: id as never});
      node.dispatch({type: 'digestReceived', digest});
    }
    node.pass(1000);
    assert.equal(resolveEntries(node.state, node.nowMs), undefined);
  });

  it('keeps the newer record of an engine, whether it came from a peer or from the store', () => {
    const node = createNode();
    const engine = {...createDeskEngine(0), revision: 30, isLeaving: true};
    const digest = node.peerDigest({
      isSteward: true,
      changes: [{vmId: engine.vmId, revision: 30, engine}],
    });
    node.dispatch({type: 'digestReceived', digest});
    node.dispatch({
      type: 'fleetChanged',
      changes: [{vmId: engine.vmId, revision: 20, engine: createDeskEngine(0)}],
      revision: 20,
    });
    assert.equal(node.state.engines.get(engine.vmId)?.isLeaving, true);
    assert.equal(node.state.targets.has(engine.vmId), false);
  });
});
