import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SchedulingNode} from '../../support/scheduling_node.js';
import {replayRecording} from '../../../src/replay/index.js';

function record(seed: number): string {
  const {self} = new SchedulingNode().state;
  const events = [
    {type: 'started', seed, nowMs: 1},
    {type: 'tick', nowMs: 50},
    {type: 'drainRequested', reason: 'test', nowMs: 60},
    {type: 'tick', nowMs: 100},
  ];
  const lines = [{kind: 'recording', self, seed}, ...events];
  return lines.map(line => JSON.stringify(line)).join('\n') + '\n';
}

test('a recording gives the same effects each time it is replayed', () => {
  const first = replayRecording(record(1))!;
  assert.equal(first.events, 4);
  assert.ok(first.effects > 0);
  assert.deepEqual(replayRecording(record(1)), first);
});

test('a trace is not accepted as a recording', () => {
  assert.equal(replayRecording('{"kind":"trace"}\n'), undefined);
});
