import assert from 'node:assert/strict';
import {mkdtemp, mkdir, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {tmpdir} from 'node:os';
import {afterEach, beforeEach, test} from 'node:test';
import {TestProcess} from '../../support/test_process.js';
import {formatTestSettings} from '../../support/create_test_settings.js';

const SERVICE = `[service]
name = chat
kind = model
organisations = bakery
timeout = 90s
[model]
model = quill
version = 1
replicas = 1
vmsPerReplica = 2
slotsPerReplica = 8
`;

let directory: string;

beforeEach(async () => {
  directory = await mkdtemp(join(tmpdir(), 'rhubarbstile-cli-'));
});
afterEach(() => rm(directory, {recursive: true}));

async function runCli(...args: string[]): Promise<TestProcess> {
  const process = new TestProcess('src/cli/main.js', args);
  await process.ended;
  return process;
}

test('validate lists the faults of service and settings files together', async () => {
  await mkdir(join(directory, 'chat'));
  const chat = join(directory, 'chat', 'service.ini');
  await writeFile(chat, SERVICE.replace('90s', '90').replace('= 8', '= many'));
  const ports = {caller: 8080, control: 8081};
  const [one, two] = [
    join(directory, 'node-1.ini'),
    join(directory, 'node-2.ini'),
  ];
  await writeFile(one, formatTestSettings('node-1', ports));
  await writeFile(two, formatTestSettings('node-2', {...ports, control: 9081}));
  const {exitCode, output} = await runCli('validate', directory);
  assert.equal(exitCode, 3);
  const lines = output.trim().split('\n');
  assert.equal(lines.length, 4, output);
  assert.ok(lines[0]!.startsWith(`${chat}:5: service.timeout: expected a dur`));
  assert.ok(
    lines[1]!.startsWith(`${chat}:11: model.slotsPerReplica: expected`),
  );
  assert.ok(
    lines[2]!.startsWith(`${two}:5: node.callerAddress: expected an a`),
  );
  assert.ok(lines[2]!.includes(`${one}:5 has it`), lines[2]);
  assert.equal(lines[3], '3 faults in 3 files.');
});

test('validate accepts valid files and reports a missing path', async () => {
  await writeFile(join(directory, 'chat.ini'), SERVICE);
  const valid = await runCli('validate', directory, '--json');
  assert.equal(valid.exitCode, 0, valid.output);
  assert.deepEqual(JSON.parse(valid.output).faults, []);
  const missing = await runCli('validate', join(directory, 'gone.ini'));
  assert.equal(missing.exitCode, 3);
  assert.match(missing.output, /There is no file or directory ".*gone\.ini"/);
});

test('an unreachable node is reported in one line with a hint', async () => {
  const {exitCode, output} = await runCli('status', '--node', '127.0.0.1:9');
  assert.equal(exitCode, 4);
  assert.equal(output.trim().split('\n').length, 1);
  assert.match(output, /Node 127\.0\.0\.1:9 cannot be reached .* Check --node/);
});

test('a node with invalid settings exits and reports the fault', async () => {
  const path = join(directory, 'node.ini');
  const text = formatTestSettings('node-1', {caller: 8080, control: 8081});
  await writeFile(path, text.replace('level = error', 'level = loud'));
  const {exitCode, output} = await runCli('node', '--settings', path);
  assert.equal(exitCode, 3);
  assert.match(
    output,
    /node\.ini:\d+: log\.level: expected one of debug, info/,
  );
});

test('invalid commands and options exit with 2, help with 0', async () => {
  assert.equal((await runCli('statsu')).exitCode, 2);
  assert.equal((await runCli('status', '--bogus')).exitCode, 2);
  for (const command of ['publish', 'validate', 'node', 'config show']) {
    const help = await runCli(...command.split(' '), '--help');
    assert.equal(help.exitCode, 0);
    assert.match(help.output, /Exit codes:/);
    assert.match(help.output, /Examples:/);
  }
});
