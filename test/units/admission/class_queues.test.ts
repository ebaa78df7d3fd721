import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {SchedulingNode} from '../../support/scheduling_node.js';

const LONG = {maxOutputTokens: 8192};
const SHORT = {maxOutputTokens: 64};

/** Trains the length model: responses under a large requested bound are long, others short. */
function trainLengthModel(node: SchedulingNode): void {
  for (let at = 0; at < 12; at++) {
    const short = node.submitRequest('large', SHORT);
    node.end(short, 40);
    node.end(node.submitRequest('large', SHORT), 40);
    node.end(node.submitRequest('large', LONG), 4000);
  }
}

describe('class queues', () => {
  test('a short request is dispatched before long ones that arrived earlier', () => {
    const node = new SchedulingNode({slots: 1});
    trainLengthModel(node);
    const running = node.submitRequest('large', SHORT);
    node.submitRequest('large', LONG);
    const short = node.submitRequest('large', SHORT);
    node.end(running);
    assert.equal(node.startedIds().at(-1), short);
  });

  test('without shortFirst the earlier request is dispatched first', () => {
    const node = new SchedulingNode({
      slots: 1,
      schedulingOptions: {shortFirst: false},
    });
    trainLengthModel(node);
    const running = node.submitRequest('large', SHORT);
    const long = node.submitRequest('large', LONG);
    node.submitRequest('large', SHORT);
    node.end(running);
    assert.equal(node.startedIds().at(-1), long);
  });

  test('long requests leave a slot free for short ones until they have aged in the queue', () => {
    const node = new SchedulingNode({slots: 2});
    trainLengthModel(node);
    node.submitRequest('large', LONG);
    const second = node.submitRequest('large', LONG);
    assert.ok(!node.startedIds().includes(second));
    const short = node.submitRequest('large', SHORT);
    assert.equal(node.startedIds().at(-1), short);
    node.end(short);
    node.wait(2000);
    assert.ok(!node.startedIds().includes(second));
    node.wait(2500);
    assert.equal(node.startedIds().at(-1), second);
  });

  test('without longShare long requests occupy every slot', () => {
    const node = new SchedulingNode({
      slots: 2,
      schedulingOptions: {longShare: false},
    });
    trainLengthModel(node);
    node.submitRequest('large', LONG);
    const second = node.submitRequest('large', LONG);
    assert.equal(node.startedIds().at(-1), second);
  });

  test('a stream that exceeds its estimated length is paused for a waiting short request, and resumes', () => {
    const node = new SchedulingNode({slots: 1});
    trainLengthModel(node);
    const stream = node.submitRequest('large');
    node.firstToken(stream);
    node.progress(stream, 2000);
    const short = node.submitRequest('large', SHORT);
    node.wait(4000);
    assert.equal(node.startedIds().at(-1), short);
    assert.ok(node.effects.some(one => one.type === 'cancelAttempt'));
    node.end(short);
    node.wait(4500);
    const last = node.started.at(-1)!;
    assert.equal(last.requestId, stream);
    assert.equal(last.resume, true);
  });

  test('without pauses the short request waits for the stream', () => {
    const node = new SchedulingNode({
      slots: 1,
      schedulingOptions: {pauses: false},
    });
    trainLengthModel(node);
    const stream = node.submitRequest('large');
    node.firstToken(stream);
    node.progress(stream, 2000);
    const short = node.submitRequest('large', SHORT);
    node.wait(4000);
    assert.ok(!node.startedIds().includes(short));
  });

  test('a stream is paused at most twice', () => {
    const node = new SchedulingNode({slots: 1});
    trainLengthModel(node);
    const stream = node.submitRequest('large');
    for (let round = 0; round < 4; round++) {
      if (node.startedIds().at(-1) !== stream) node.wait(4500);
      node.firstToken(stream);
      node.progress(stream, 2000);
      const short = node.submitRequest('large', SHORT);
      node.wait(4000);
      if (node.startedIds().includes(short)) node.end(short);
    }
    const pauses = node.effects.filter(one => one.type === 'cancelAttempt');
    assert.equal(pauses.length, 2);
  });
});
