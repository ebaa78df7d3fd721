import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRefusal} from '../../../src/core/errors/index.js';

test('createRefusal replaces placeholders and rounds retryAfterMs up', () => {
  const refusal = createRefusal('QueueFull', 'not-run', {
    params: {service: 'chat'},
    retryAfterMs: 10.2,
  });
  assert.equal(refusal.status, 429);
  assert.equal(
    refusal.body.message,
    'Too many requests are waiting for service "chat".',
  );
  assert.equal(refusal.body.retryAfterMs, 11);
  assert.equal(refusal.body.verdict, 'not-run');
});
