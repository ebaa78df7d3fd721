import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {SchedulingNode} from '../../support/scheduling_node.js';

/** Fills the queue with `first` of one organisation, then of another, and drains it one by one. */
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
  test('organisations share dispatches by weight, whoever came first', () => {
    const order = drain(true, 48);
    const small = order.filter(one => one === 'small').length;
    assert.ok(small >= 8 && small <= 16, `small had ${small} of 48`);
  });

  test('without fairness the one that came first has all', () => {
    const order = drain(false, 48);
    assert.ok(order.every(one => one === 'large'));
  });

  test('a larger priority goes first', () => {
    const node = new SchedulingNode({slots: 1});
    const running = node.submitRequest('large');
    node.submitRequest('large', {priority: -1});
    const usual = node.submitRequest('large');
    node.end(running);
    assert.equal(node.startedIds().at(-1), usual);
  });

  test('a request taken off the queue is never started', () => {
    const node = new SchedulingNode({slots: 1});
    const running = node.submitRequest('large');
    const gone = node.submitRequest('large');
    const next = node.submitRequest('large');
    node.dispatch({type: 'callerGone', requestId: gone});
    node.end(running);
    assert.equal(node.startedIds().at(-1), next);
    assert.ok(!node.startedIds().includes(gone));
  });
});
