import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  checkAddresses,
  loadSettings,
  parseSettings,
} from '../../../src/settings/index.js';
import {formatFault, readIni} from '../../../src/core/config/files/index.js';

const TOKEN = 'd'.repeat(64);
const SETTINGS = `[node]
name = node-1
zone = zone-a
region = waikato
callerAddress = 10.0.0.1:8080
controlAddress = 10.0.0.1:8081

[platform]
address = 10.0.0.9:2379

[secrets]
operatorTokenSha256 = ${TOKEN}
peerSecretFile = peer.secret
`;

const readFile = (path: string) =>
  path === 'peer.secret' ? 'a secret that is long enough\n' : undefined;

function faultsOf(text: string): string[] {
  return parseSettings('node.ini', text, readFile)
    ._unsafeUnwrapErr()
    .map(formatFault);
}

test('settings are parsed with defaults, units and secret files', () => {
  const text = SETTINGS + '[limits]\nmaxBody = 64KB\nidleTimeout = 5s\n';
  const settings = parseSettings('node.ini', text, readFile)._unsafeUnwrap();
  assert.equal(settings.node.nodeId, 'node-1');
  assert.equal(settings.node.roles.steward, true);
  assert.equal(settings.limits.maxBodyBytes, 65_536);
  assert.equal(settings.limits.idleTimeoutMs, 5000);
  assert.equal(settings.secrets.peerSecret, 'a secret that is long enough');
  assert.equal(settings.log.level, 'info');
  assert.equal(settings.record.path, undefined);
});

test('all faults of a settings file are reported at once', () => {
  const broken = SETTINGS.replace('10.0.0.1:8080', 'localhost:8080')
    .replace('zone = zone-a\n', '')
    .replace('peer.secret', 'gone.secret')
    .replace('[platform]', '[platfrom]');
  assert.deepEqual(faultsOf(broken + '[limits]\nmaxBody = 10\n'), [
    'node.ini: platform: expected a section [platform], got none',
    'node.ini:1: node.zone: expected a name of lower-case letters, digits and "-", at most 63 characters, got nothing',
    'node.ini:4: node.callerAddress: expected an address such as 10.0.0.7:8080, got "localhost:8080"',
    'node.ini:7: platfrom: expected [node], [platform], [limits], [secrets], [log], [record], got [platfrom]',
    'node.ini:12: secrets.peerSecretFile: expected a readable file, got "gone.secret"',
    'node.ini:14: limits.maxBody: expected a size with its unit (B, KB, MB) from 1KB to 256MB, got "10"',
  ]);
});

test('an invalid secret is not shown in its fault', () => {
  const faults = faultsOf(SETTINGS.replace(TOKEN, 'my plain token'));
  assert.equal(faults.length, 1);
  assert.ok(!faults[0]!.includes('my plain token'));
});

test('an address that two settings files use is a fault of the second', () => {
  const second = SETTINGS.replace('name = node-1', 'name = node-2')
    .replace('10.0.0.1:8080', '10.0.0.2:8080')
    .replace('10.0.0.1:8081', '10.0.0.1:8080');
  const documents = [
    readIni('1.ini', SETTINGS).document,
    readIni('2.ini', second).document,
  ];
  assert.deepEqual(checkAddresses(documents).map(formatFault), [
    '2.ini:6: node.controlAddress: expected an address of its own (1.ini:5 has it), got "10.0.0.1:8080"',
  ]);
});

test('a missing settings file is a fault with its path', () => {
  const faults = loadSettings('nowhere/node.ini')._unsafeUnwrapErr();
  assert.deepEqual(faults.map(formatFault), [
    'nowhere/node.ini: file: expected a readable file, got none',
  ]);
});
