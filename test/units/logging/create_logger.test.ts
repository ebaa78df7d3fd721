import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  PEER_SECRET,
  createTestSettings,
} from '../../support/create_test_settings.js';
import {createLogger} from '../../../src/logging/index.js';

async function logLines(level: 'info' | 'warn') {
  const settings = await createTestSettings('node-1');
  const logger = createLogger({...settings, log: {level}});
  const lines: {message: string; context: Record<string, unknown>}[] = [];
  // Imported after the logger: Roarr writes nothing when it is imported first.
  const {ROARR} = await import('roarr');
  ROARR.write = line => void lines.push(JSON.parse(line));
  return {logger, lines, settings};
}

test('a line is JSON with node, area, level, request id and message', async () => {
  const {logger, lines} = await logLines('info');
  logger.write('warn', 'requests', '100% late', {requestId: 'r-1', queued: 3});
  assert.equal(lines.length, 1);
  assert.equal(lines[0]!.message, '100% late');
  const {node, area, level, requestId, queued} = lines[0]!.context;
  assert.deepEqual(
    {node, area, level, requestId, queued},
    {
      node: 'node-1',
      area: 'requests',
      level: 'warn',
      requestId: 'r-1',
      queued: 3,
    },
  );
});

test('lines below the configured level are not written', async () => {
  const {logger, lines} = await logLines('warn');
  logger.write('debug', 'a', 'one');
  logger.write('info', 'a', 'two');
  logger.write('error', 'a', 'three');
  assert.deepEqual(
    lines.map(line => line.message),
    ['three'],
  );
});

test('secrets are never logged, by name, by value or in a header', async () => {
  const {logger, lines, settings} = await logLines('info');
  logger.write('error', 'peers', `refused ${PEER_SECRET}`, {
    headers: {authorization: 'Bearer caller-token-1', accept: 'text/plain'},
    note: 'sent Bearer caller-token-2 once',
    nested: [{peerSecret: 'x-secret'}, settings.secrets],
    fencingToken: 7,
  });
  const text = JSON.stringify(lines);
  const {operatorTokenSha256} = settings.secrets;
  const hidden = [PEER_SECRET, operatorTokenSha256, 'caller-token', 'x-secret'];
  for (const secret of hidden) assert.ok(!text.includes(secret), text);
  assert.equal(lines[0]!.context['fencingToken'], 7);
});
