import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  formatFault,
  parseConfigFiles,
  parseOrganisationsFile,
  parseServiceFile,
} from '../../../src/core/config/files/index.js';

const CHAT = `
[service]
name = chat            ; callers send it as "model"
kind = model
organisations = bakery, school
timeout = 90s

[model]
model = quill-70b
version = 3
replicas = 4
vmsPerReplica = 2
slotsPerReplica = 8
`;

const ORGANISATIONS = `
[organisation.bakery]
tokenSha256 = ${'a'.repeat(64)}
maxRequestsPerSecond = 20
maxInFlight = 50
[organisation.school]
tokenSha256 = ${'b'.repeat(64)}, ${'c'.repeat(64)}
weight = 2.5
maxRequestsPerSecond = 5
maxInFlight = 10
`;

function faultsOf(text: string): string[] {
  return parseServiceFile('chat.ini', text)._unsafeUnwrapErr().map(formatFault);
}

test('a service file is parsed with defaults filled in', () => {
  const service = parseServiceFile('chat.ini', CHAT)._unsafeUnwrap();
  assert.deepEqual(service, {
    name: 'chat',
    kind: 'model',
    organisations: ['bakery', 'school'],
    unrepeatable: false,
    timeoutMs: 90_000,
    onceRetentionMs: 86_400_000,
    maxQueue: 1000,
    priority: 0,
    model: 'quill-70b',
    version: '3',
    adapters: [],
    replicas: 4,
    vmsPerReplica: 2,
    slotsPerReplica: 8,
    minServing: 3,
  });
});

test('a service file reports all its faults at once, each with its line', () => {
  const broken = CHAT.replace('timeout = 90s', 'timeout = 90\ntimeuot = 1s')
    .replace('replicas = 4', 'replicas = four\nreplicas = 5')
    .replace('version = 3\n', '')
    .replace('vmsPerReplica = 2', 'vmsPerReplica = 0');
  assert.deepEqual(faultsOf(broken), [
    'chat.ini:6: service.timeout: expected a duration with its unit (ms, s, m, h, d) from 100ms to 24h, got "90"',
    'chat.ini:7: service.timeuot: expected a known key, got "timeuot"',
    'chat.ini:9: model.version: expected a label of letters, digits and "._/:-", at most 128 characters, got nothing',
    'chat.ini:11: model.replicas: expected a whole number from 0 to 10000, got "four"',
    'chat.ini:12: model.replicas: expected one value (the first is on line 11), got a second one',
    'chat.ini:13: model.vmsPerReplica: expected a whole number from 1 to 64, got "0"',
  ]);
});

test('a misplaced, a missing and an unknown section are faults', () => {
  const text = CHAT.replace('kind = model', 'kind = application');
  assert.deepEqual(faultsOf(text + '[modle]\n'), [
    'chat.ini: application: expected a section [application], got none',
    'chat.ini:8: model: expected no such section in a service of kind application, got [model]',
    'chat.ini:14: modle: expected [service], [model] or [application], got [modle]',
  ]);
});

test('minServing is compared with replicas even if its section has other faults', () => {
  const faults = faultsOf(CHAT + 'minServing = 5\nminServin = 1\n');
  assert.deepEqual(faults, [
    'chat.ini:14: model.minServing: expected no more than model.replicas (4), got "5"',
    'chat.ini:15: model.minServin: expected a known key, got "minServin"',
  ]);
});

test('minServing may not exceed replicas', () => {
  assert.deepEqual(faultsOf(CHAT + 'minServing = 5\n'), [
    'chat.ini:14: model.minServing: expected no more than model.replicas (4), got "5"',
  ]);
});

test('organisations are parsed with their tokens and weights', () => {
  const parsed = parseOrganisationsFile('organisations.ini', ORGANISATIONS);
  assert.deepEqual(parsed._unsafeUnwrap()[1], {
    name: 'school',
    tokenSha256: ['b'.repeat(64), 'c'.repeat(64)],
    weight: 2.5,
    maxRequestsPerSecond: 5,
    maxInFlight: 10,
  });
});

test('one token for two organisations is a fault', () => {
  const text = ORGANISATIONS.replace('b'.repeat(64), 'a'.repeat(64));
  const faults = parseOrganisationsFile('o.ini', text)._unsafeUnwrapErr();
  assert.deepEqual(faults.map(formatFault), [
    'o.ini:7: organisation.school.tokenSha256: expected a token of this organisation alone, got the token of "bakery"',
  ]);
});

test('files of one publication are checked against each other even if one is faulty', () => {
  const files = [
    {path: 'a.ini', text: CHAT.replace('90s', '90')},
    {path: 'b.ini', text: CHAT.replace('school', 'shcool')},
    {path: 'c.ini', text: '[servcie]\n'},
    {path: 'organisations.ini', text: ORGANISATIONS},
  ];
  const faults = parseConfigFiles(files)._unsafeUnwrapErr();
  assert.deepEqual(faults.map(formatFault), [
    'a.ini:6: service.timeout: expected a duration with its unit (ms, s, m, h, d) from 100ms to 24h, got "90"',
    'b.ini:3: service.name: expected a name of its own (a.ini has it), got "chat"',
    'b.ini:5: service.organisations: expected organisations that exist (bakery, school), got "shcool"',
    'c.ini: file: expected a [service] or [organisation.<name>] section, got neither',
  ]);
});

test('without an organisations file, services are checked against the organisations in force', () => {
  const files = [{path: 'a.ini', text: CHAT}];
  assert.ok(parseConfigFiles(files, new Set(['bakery', 'school'])).isOk());
  assert.ok(parseConfigFiles(files, new Set(['bakery'])).isErr());
  assert.ok(parseConfigFiles(files).isOk());
});
