import assert from 'node:assert/strict';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';
import {checkFiles, collectFiles} from '../../../src/cli/files/index.js';
import {
  fileKind,
  formatFault,
  parseConfigFiles,
} from '../../../src/core/config/files/index.js';

const EXAMPLES = fileURLToPath(
  new URL('../../../../examples', import.meta.url),
);

for (const [deployment, services] of [
  ['pinata_labs', ['chat-helper', 'orders']],
  ['cooperative', ['feeding-plans', 'stall-booking']],
] as const) {
  test(`the examples of ${deployment} are valid and define the expected services`, () => {
    const files = collectFiles([`${EXAMPLES}/${deployment}`]);
    assert.deepEqual(checkFiles(files).map(formatFault), []);
    const published = files.filter(({text}) => fileKind(text) !== 'settings');
    assert.equal(files.length - published.length, 2);
    const parsed = parseConfigFiles(published)._unsafeUnwrap();
    assert.deepEqual(
      parsed.services.map(({service}) => service.name),
      services,
    );
    const application = parsed.services[1]!.service;
    assert.equal(application.kind, 'application');
    assert.equal(application.unrepeatable, true);
  });
}
