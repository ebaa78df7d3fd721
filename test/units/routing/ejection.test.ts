import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {RequestId} from '../../../src/core/ids/index.js';
import {SchedulingNode} from '../../support/scheduling_node.js';

/** Sends requests one by one; attempts on `failing` targets fail. Returns the attempts per target. */
function send(
  node: SchedulingNode,
  count: number,
  failing: readonly string[],
): Map<string, number> {
  const attempts = new Map<string, number>();
  for (let at = 0; at < count; at++) {
    const requestId: RequestId = node.submitRequest();
    for (;;) {
      const last = node.started.at(-1)!;
      if (last.requestId !== requestId) break;
      attempts.set(last.targetId, (attempts.get(last.targetId) ?? 0) + 1);
      if (!failing.includes(last.targetId)) {
        node.end(requestId);
        break;
      }
      const before = node.started.length;
      node.fail(requestId);
      if (node.started.length === before) break;
    }
    node.nowMs += 1;
  }
  return attempts;
}

describe('ejection', () => {
  test('a target that fails three times in a row gets no more requests for a time', () => {
    const node = new SchedulingNode({slots: 4, targets: 6});
    assert.equal(send(node, 200, ['t0']).get('t0'), 3);
  });

  test('without ejection a failing target keeps receiving requests', () => {
    const node = new SchedulingNode({
      slots: 4,
      targets: 6,
      schedulingOptions: {ejection: false, retryBudget: false},
    });
    assert.ok(send(node, 200, ['t0']).get('t0')! > 10);
  });

  test('at most a third of the targets is ejected at the same time', () => {
    const node = new SchedulingNode({
      slots: 4,
      targets: 6,
      schedulingOptions: {retryBudget: false},
    });
    const all = ['t0', 't1', 't2', 't3', 't4', 't5'];
    send(node, 100, all);
    const ejected = [...node.state.routing.loads.values()].filter(
      load => load.ejectedUntilMs > node.nowMs,
    );
    assert.equal(ejected.length, 2);
  });

  test('a target starts with few slots when its ejection ends', () => {
    const node = new SchedulingNode({slots: 8, targets: 3});
    send(node, 100, ['t0']);
    node.wait(5100);
    const ids = Array.from({length: 24}, () => node.submitRequest());
    const onReturned = () =>
      node.started.filter(
        one => one.targetId === 't0' && ids.includes(one.requestId),
      ).length;
    assert.equal(onReturned(), 1);
    node.wait(8000);
    assert.ok(onReturned() > 4);
  });
});
