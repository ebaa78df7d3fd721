import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {SchedulingNode} from '../../support/scheduling_node.js';
import {takeRetry} from '../../../src/core/limits/index.js';

function nameOf(node: SchedulingNode, requestId: string): string | undefined {
  return node.refusalOf(requestId as never)?.refusal.body.name;
}

describe('limits of an organisation', () => {
  test('requests over the rate are refused with a retry time, and admitted after it', () => {
    const node = new SchedulingNode({slots: 100});
    node.addOrganisation('bounded', 1, {maxRequestsPerSecond: 5});
    const ids = Array.from({length: 12}, () => node.submitRequest('bounded'));
    const refused = ids.filter(id => nameOf(node, id) === 'RateLimited');
    assert.equal(refused.length, 2);
    const {retryAfterMs} = node.refusalOf(refused[0]!)!.refusal.body;
    node.wait(retryAfterMs!);
    assert.equal(nameOf(node, node.submitRequest('bounded')), undefined);
  });

  test('requests in flight are bounded, and a completed one frees its place', () => {
    const node = new SchedulingNode({slots: 100});
    node.addOrganisation('bounded', 1, {maxInFlight: 2});
    const first = node.submitRequest('bounded');
    node.submitRequest('bounded');
    assert.equal(nameOf(node, node.submitRequest('bounded')), 'RateLimited');
    node.end(first);
    assert.equal(nameOf(node, node.submitRequest('bounded')), undefined);
  });

  test('a node with serving peers applies only its share of a limit', () => {
    const node = new SchedulingNode({slots: 100, peers: 5});
    node.addOrganisation('bounded', 1, {maxInFlight: 12});
    const ids = Array.from({length: 12}, () => node.submitRequest('bounded'));
    const admitted = ids.filter(id => nameOf(node, id) === undefined).length;
    assert.equal(admitted, 3);
  });
});

describe('retry budget', () => {
  const info = {service: 'chat'} as never;

  function countRetries(retryBudget: boolean): number {
    const node = new SchedulingNode({
      slots: 200,
      schedulingOptions: {retryBudget},
    });
    for (let at = 0; at < 100; at++) node.submitRequest('large');
    const step = {state: node.state, nowMs: node.nowMs, effects: []};
    let taken = 0;
    while (taken < 1000 && takeRetry(step, info)) taken += 1;
    return taken;
  }

  test('retries are limited to a tenth of first attempts plus a small initial budget', () => {
    assert.equal(countRetries(true), 15);
  });

  test('without retryBudget retries are not limited', () => {
    assert.equal(countRetries(false), 1000);
  });
});
