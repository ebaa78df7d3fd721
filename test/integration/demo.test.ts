import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TestProcess} from '../support/test_process.js';

test('the demo has no lost or wrong response while a VM leaves and a node is lost', async () => {
  const process = new TestProcess('src/cli/main.js', ['dev', '--demo']);
  await process.ended;
  assert.equal(process.exitCode, 0, process.output);
  const last = process.output.trim().split('\n').at(-1)!;
  const match = /^demo: sent (\d+), whole (\d+), lost 0, wrong 0$/.exec(last);
  assert.ok(match, process.output);
  assert.equal(match[1], match[2]);
  assert.match(process.output, /VM zone-a-engine-1 is leaving/);
  assert.match(process.output, /node-\d is lost with its requests in progress/);
});
