import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {SchedulingOptions} from '../../../src/core/admission/types.js';
import {SchedulingNode} from '../../support/scheduling_node.js';

/** A node that completes one request a second and has twenty queued. */
function busyNode(
  schedulingOptions: Partial<SchedulingOptions>,
): SchedulingNode {
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
  test('a request that cannot meet its deadline is refused on arrival, with the verdict not-run', () => {
    const node = busyNode({});
    const requestId = node.submitRequest('large', {timeoutMs: 3000});
    const {body} = node.refusalOf(requestId)!.refusal;
    assert.equal(body.name, 'DeadlineUnreachable');
    assert.equal(body.verdict, 'not-run');
    assert.ok(body.retryAfterMs! >= 100 && body.retryAfterMs! <= 45_000);
  });

  test('without deadlineRefusal it is queued although it cannot meet its deadline', () => {
    const node = busyNode({deadlineRefusal: false});
    const requestId = node.submitRequest('large', {timeoutMs: 3000});
    assert.equal(node.refusalOf(requestId), undefined);
  });

  test('a request is not refused because of the queue of another organisation', () => {
    const node = busyNode({});
    const requestId = node.submitRequest('small', {timeoutMs: 9000});
    assert.equal(node.refusalOf(requestId), undefined);
  });

  test('callers that are refused together get different retry times', () => {
    const node = busyNode({});
    const times = Array.from({length: 8}, () => {
      const requestId = node.submitRequest('large', {timeoutMs: 1000});
      return node.refusalOf(requestId)!.refusal.body.retryAfterMs;
    });
    assert.ok(new Set(times).size >= 6, times.join(' '));
  });

  test('a request is refused with QueueFull when the queue is full', () => {
    const node = new SchedulingNode({slots: 1});
    for (let at = 0; at < 101; at++) node.submitRequest('large');
    const requestId = node.submitRequest('large');
    assert.equal(node.refusalOf(requestId)!.refusal.body.name, 'QueueFull');
  });
});
