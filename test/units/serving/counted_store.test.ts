import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
  PlatformStore,
  StoreOutcome,
} from '../../../src/core/store/types.js';
import {CountedStore} from '../../../src/serving/counted_store.js';
import {createNodeMetrics} from '../../../src/metrics/create_node_metrics.js';

describe('counted store', () => {
  it('counts calls by kind and outcome, and logs each loss and recovery of the store once', async () => {
    const outcomes: StoreOutcome[] = [
      {kind: 'ok'},
      {kind: 'unavailable'},
      {kind: 'ok'},
      {kind: 'unavailable'},
      {kind: 'unknown'},
      {kind: 'unavailable'},
      {kind: 'conflict'},
    ];
    const inner: PlatformStore = {
      call: async () => outcomes.shift()!,
      close: async () => {},
    };
    const lines: string[] = [];
    const metrics = createNodeMetrics();
    let nowMs = 0;
    const store = new CountedStore(
      inner,
      {nowMs: () => (nowMs += 100)},
      metrics,
      {
        write: (_level, _area, message, fields) =>
          void lines.push(`${message} ${JSON.stringify(fields)}`),
      },
      {
        regained: lostMs => void lines.push(`regained after ${lostMs}`),
        era: era => void lines.push(`era ${era}`),
      },
    );
    for (let at = 0; at < 7; at++) {
      await store.call({kind: 'get', key: 'area/name'}, 100);
    }
    await store.close();
    assert.deepEqual(lines, [
      'store lost {"call":"get area/","kind":"unknown"}',
      'store regained {"call":"get area/","lostMs":200,"failures":3}',
      'regained after 200',
      'store calls {"calls":{"get area/":7}}',
    ]);
    const text = await metrics.render();
    assert.match(text, /store_calls_total\{kind="get",outcome="ok"\} 2/);
    assert.match(
      text,
      /store_calls_total\{kind="get",outcome="unavailable"\} 3/,
    );
  });
});
