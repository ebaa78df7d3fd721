import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {SchedulingOptions} from '../../../src/core/admission/types.js';
import {SchedulingNode} from '../../support/scheduling_node.js';

/** A node that ends one request a second and has twenty waiting. */
function busyNode(schedulingOptions: Partial<SchedulingOptions>): SchedulingNode {
  const node = new SchedulingNode({slots: 1, schedulingOptions});
  let running = node.submitRequest('large');
  for (let at = 0; at < 40; at++) node.submitRequest('large');
  for (let at = 0; at < 20; at++) {
    node.wait(1000);
    node.end(running);
    running = node.startedIds().at(-1)!;
  }
  return node;
}

describe('refusals', () => {
  test('a request that cannot be answered in time is refused at once, as not run', () => {
    const node = busyNode({});
    const requestId = node.submitRequest('large', {timeoutMs: 3000});
    const {body} = node.refusalOf(requestId)!.refusal;
    assert.equal(body.name, 'DeadlineUnreachable');
    assert.equal(body.verdict, 'not-run');
    assert.ok(body.retryAfterMs! >= 100 && body.retryAfterMs! <= 45_000);
  });

  test('without deadlineRefusal it waits in vain', () => {
    const node = busyNode({deadlineRefusal: false});
    const requestId = node.submitRequest('large', {timeoutMs: 3000});
    assert.equal(node.refusalOf(requestId), undefined);
  });

  test('a request of an organisation whose turn is near is not refused for the queue of another', () => {
    const node = busyNode({});
    const requestId = node.submitRequest('small', {timeoutMs: 9000});
    assert.equal(node.refusalOf(requestId), undefined);
  });

  test('retry times of callers that are refused together are spread', () => {
    const node = busyNode({});
    const times = Array.from({length: 8}, () => {
      const requestId = node.submitRequest('large', {timeoutMs: 1000});
      return node.refusalOf(requestId)!.refusal.body.retryAfterMs;
    });
    assert.ok(new Set(times).size >= 6, times.join(' '));
  });

  test('a full queue refuses', () => {
    const node = new SchedulingNode({slots: 1});
    for (let at = 0; at < 101; at++) node.submitRequest('large');
    const requestId = node.submitRequest('large');
    assert.equal(node.refusalOf(requestId)!.refusal.body.name, 'QueueFull');
  });
});
