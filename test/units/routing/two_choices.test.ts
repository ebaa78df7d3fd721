import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {SchedulingOptions} from '../../../src/core/admission/types.js';
import type {VmId, ZoneId} from '../../../src/core/ids/index.js';
import {SchedulingNode} from '../../support/scheduling_node.js';
import {makeId} from '../../../src/core/ids/index.js';
import {seedTarget} from '../../support/seed_state.js';

type Node = SchedulingNode;

function targetsUsed(node: Node): string[] {
  return node.started.map(one => one.targetId);
}

function targetOf(node: Node, id: string) {
  return node.state.targets.byId.get(makeId(id))!;
}

describe('two choices', () => {
  test('a target that is full by its reports gets no requests until a report shows a free slot', () => {
    const node = new SchedulingNode({slots: 4, targets: 2});
    node.report('t0', 4);
    for (let at = 0; at < 4; at++) node.submitRequest();
    assert.deepEqual(new Set(targetsUsed(node)), new Set(['t1']));
    const waiting = node.submitRequest();
    assert.ok(!node.startedIds().includes(waiting));
    node.report('t0', 1);
    assert.equal(node.started.at(-1)!.targetId, 't0');
  });

  /** Two requests start after the report was made, so that it counts neither. */
  function loadAfterLaggedReport(
    schedulingOptions: Partial<SchedulingOptions>,
  ): number {
    const node = new SchedulingNode({slots: 4, targets: 1, schedulingOptions});
    node.submitRequest();
    node.submitRequest();
    node.nowMs += 50;
    node.report('t0', 2, 200);
    for (let at = 0; at < 4; at++) node.submitRequest();
    return node.started.length;
  }

  test('a delayed report is corrected by own dispatches since it was made', () => {
    assert.equal(loadAfterLaggedReport({}), 2);
  });

  test('without loadCorrection own attempts are not recognised in a delayed report', () => {
    assert.equal(loadAfterLaggedReport({loadCorrection: false}), 4);
  });

  test('a target that replaces a barred one is used', () => {
    const node = new SchedulingNode({slots: 4, targets: 1});
    targetOf(node, 't0').bar = 'no-fresh-report';
    const waiting = node.submitRequest();
    node.wait(1000);
    const {byId, byService} = node.state.targets;
    const removed = targetOf(node, 't0');
    byId.delete(removed.targetId);
    byService.get(removed.service)!.delete(removed.targetId);
    seedTarget(node.state, 'chat', 't1');
    node.wait(1000);
    assert.deepEqual(node.startedIds(), [waiting]);
  });

  test('barred targets, targets without the adapter, and targets that failed the request are not selected', () => {
    const node = new SchedulingNode({slots: 4, targets: 4});
    targetOf(node, 't0').bar = 'told-leaving';
    Object.assign(targetOf(node, 't2'), {adapters: ['quotes']});
    const {document} = node.state.config;
    const chat = document.services.get('chat')!;
    Object.assign(chat, {adapters: ['quotes']});
    node.submitRequest('large', {adapter: 'quotes'});
    assert.deepEqual(targetsUsed(node), ['t2']);
    const retried = node.submitRequest('large');
    const failed = node.started.at(-1)!.targetId;
    node.fail(retried);
    assert.notEqual(node.started.at(-1)!.targetId, failed);
    for (let at = 0; at < 9; at++) node.submitRequest();
    assert.ok(!targetsUsed(node).includes('t0'));
  });

  test('a target in the own zone is preferred when loads are equal', () => {
    const node = new SchedulingNode({slots: 40, targets: 2});
    Object.assign(targetOf(node, 't1'), {zone: makeId<ZoneId>('b')});
    let own = 0;
    for (let at = 0; at < 40; at++) {
      const requestId = node.submitRequest();
      if (node.started.at(-1)!.targetId === 't0') own += 1;
      node.end(requestId);
    }
    assert.ok(own >= 36, `${own} of 40`);
  });
});

describe('cached prefixes', () => {
  function change(
    node: Node,
    from: number,
    to: number,
    stored: string[],
  ): void {
    node.dispatch({
      type: 'targetCacheChanged',
      vmId: makeId<VmId>('t5'),
      bootId: 'b',
      fromSequence: from,
      toSequence: to,
      whole: false,
      stored,
      evicted: [],
    });
  }

  function countHits(
    node: Node,
    fields = {prefixHashes: ['p'], promptTokens: 1000},
  ): number {
    let hits = 0;
    for (let at = 0; at < 20; at++) {
      const requestId = node.submitRequest('large', fields);
      if (node.started.at(-1)!.targetId === 't5') hits += 1;
      node.end(requestId);
    }
    return hits;
  }

  test('a target that caches the prompt prefix is preferred', () => {
    const node = new SchedulingNode({slots: 8, targets: 12});
    change(node, 0, 1, ['p']);
    assert.equal(countHits(node), 20);
  });

  test('without prefixAffinity a target that caches the prefix is not preferred', () => {
    const node = new SchedulingNode({
      slots: 8,
      targets: 12,
      schedulingOptions: {prefixAffinity: false},
    });
    change(node, 0, 1, ['p']);
    assert.ok(countHits(node) < 10);
  });

  test('a gap in the cache events drops the index of the target', () => {
    const node = new SchedulingNode({slots: 8, targets: 12});
    change(node, 0, 1, ['p']);
    change(node, 3, 4, ['q']);
    assert.ok(countHits(node) < 10);
    assert.equal(node.state.routing.prefixes.size, 0);
  });

  test('a request does not wait for a target that caches its prefix but has no free slot', () => {
    const node = new SchedulingNode({slots: 2, targets: 3});
    const vmId = makeId<VmId>('t1');
    node.dispatch({
      type: 'targetCacheChanged',
      vmId,
      bootId: 'b',
      fromSequence: 0,
      toSequence: 1,
      whole: true,
      stored: ['p'],
      evicted: [],
    });
    node.report('t1', 2);
    node.submitRequest('large', {prefixHashes: ['p'], promptTokens: 1000});
    assert.notEqual(node.started.at(-1)!.targetId, 't1');
  });
});

describe('slow targets', () => {
  /**
   * Requests that a target three times slower than its peers gets in the last
   * 10 of 20 batches (120 requests in all).
   */
  function countOnStraggler(relativeSpeed: boolean): number {
    const schedulingOptions = {relativeSpeed};
    const node = new SchedulingNode({slots: 8, targets: 3, schedulingOptions});
    let count = 0;
    for (let round = 0; round < 20; round++) {
      const ids = Array.from({length: 6}, () => node.submitRequest());
      const attempts = node.started.slice(-ids.length);
      for (const id of ids) node.firstToken(id);
      node.nowMs += 1000;
      const fast = attempts.filter(one => one.targetId !== 't0');
      for (const one of fast) node.end(one.requestId);
      node.nowMs += 2000;
      const slow = attempts.filter(one => one.targetId === 't0');
      for (const one of slow) node.end(one.requestId);
      if (round >= 10) count += slow.length;
    }
    return count;
  }

  test('a slow target gets fewer requests than its peers', () => {
    const on = countOnStraggler(true);
    const off = countOnStraggler(false);
    assert.ok(on < 12, `${on} of 60`);
    assert.ok(off > 12, `${off} of 60 without relativeSpeed`);
  });
});
