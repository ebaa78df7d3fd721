import assert from 'node:assert/strict';
import {test} from 'node:test';
import {describeTextChange} from '../../../src/core/audit/index.js';

test('a changed file is described by its changed lines, a new or removed one in full', () => {
  const before = '[model]\n; of spring\nreplicas = 4\nversion = 1\n';
  const after = '[model]\nreplicas = 6\nversion = 1\n';
  assert.deepEqual(describeTextChange(before, after), {
    before: 'replicas = 4',
    after: 'replicas = 6',
  });
  assert.deepEqual(describeTextChange(undefined, after), {
    after: '[model]; replicas = 6; version = 1',
  });
  assert.deepEqual(describeTextChange(after, undefined), {
    before: '[model]; replicas = 6; version = 1',
  });
});
