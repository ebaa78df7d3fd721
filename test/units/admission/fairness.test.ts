import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {SchedulingNode} from '../../support/scheduling_node.js';

/**
 * Queues 60 requests of one organisation, then 60 of another, and returns the
 * organisations of the first `count` dispatches.
 */
function drain(fairness: boolean, count: number): string[] {
  const node = new SchedulingNode({slots: 1, schedulingOptions: {fairness}});
  let running = node.submitRequest('large');
  const senders = new Map<string, string>();
  for (const organisation of ['large', 'small']) {
    for (let at = 0; at < 60; at++) {
      senders.set(node.submitRequest(organisation), organisation);
    }
  }
  const order: string[] = [];
  for (let at = 0; at < count; at++) {
    node.end(running);
    running = node.startedIds().at(-1)!;
    order.push(senders.get(running)!);
  }
  return order;
}

describe('fairness between organisations', () => {
  test('organisations share dispatches by weight, in whatever order their requests arrived', () => {
    const order = drain(true, 48);
    const small = order.filter(one => one === 'small').length;
    assert.ok(small >= 8 && small <= 16, `small had ${small} of 48`);
  });

  test('without fairness requests are dispatched in order of arrival', () => {
    const order = drain(false, 48);
    assert.ok(order.every(one => one === 'large'));
  });

  test('a request of larger priority is dispatched first', () => {
    const node = new SchedulingNode({slots: 1});
    const running = node.submitRequest('large');
    node.submitRequest('large', {priority: -1});
    const usual = node.submitRequest('large');
    node.end(running);
    assert.equal(node.startedIds().at(-1), usual);
  });

  test('a queued request whose caller disconnected is never started', () => {
    const node = new SchedulingNode({slots: 1});
    const running = node.submitRequest('large');
    const cancelled = node.submitRequest('large');
    const next = node.submitRequest('large');
    node.dispatch({type: 'callerGone', requestId: cancelled});
    node.end(running);
    assert.equal(node.startedIds().at(-1), next);
    assert.ok(!node.startedIds().includes(cancelled));
  });
});
