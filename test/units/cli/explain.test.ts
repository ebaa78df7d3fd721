import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {explainRequest, parseLogLine} from '../../../src/cli/logs/index.js';
import type {LogLine} from '../../../src/cli/logs/index.js';

function line(
  timeMs: number,
  message: string,
  fields: Record<string, unknown>,
  area = 'requests',
): LogLine {
  const context = {...fields, area, node: 'edge-1', level: 'info'};
  const text = JSON.stringify({context, message, time: timeMs});
  return parseLogLine(` 12.5 edge-1 ${text}`)!;
}

const LOG = [
  line(900, 'engine lost', {vmId: 'i-1', proof: 'no answer'}, 'fleet'),
  line(1000, 'request sent', {
    requestId: 'n.1',
    callerId: 'c1',
    target: 'i-1',
  }),
  line(1400, 'stream moved from a silent target', {requestId: 'n.1'}),
  line(1100, 'request sent', {requestId: 'n.2', target: 'i-2'}),
  line(1500, 'request given up', {
    requestId: 'n.1',
    callerId: 'c1',
    reason: 'overloaded',
  }),
  line(1450, 'engine lost', {vmId: 'i-9'}, 'fleet'),
];

describe('explain', () => {
  it("collects a request's lines in order by either id, with the deciding line and context", () => {
    for (const id of ['n.1', 'c1']) {
      const {lines, deciding, context} = explainRequest(LOG, id);
      assert.ok(lines.length >= 2);
      assert.equal(deciding?.fields['reason'], 'overloaded');
      assert.deepEqual(
        context.map(({fields}) => fields['vmId']),
        ['i-1'],
      );
    }
  });

  it('skips lines that are not log lines of a node', () => {
    for (const text of ['', 'plain', '{"cut', '{"message": 3}', '[]']) {
      assert.equal(parseLogLine(text), undefined);
    }
  });
});
