import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {join} from 'node:path';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {DEV_FILES} from '../../src/dev/dev_files.js';
import {DEV_SECRETS} from '../../src/dev/dev_secrets.js';
import {DevCluster} from '../../src/dev/index.js';
import {TestProcess} from '../support/test_process.js';
import {waitFor} from '../support/wait_for.js';

interface NodeLine {
  readonly nodeId: string;
  readonly live: boolean;
  readonly phase: string;
}

let cluster: DevCluster;
let folder: string;

before(async () => {
  cluster = await DevCluster.start({logLevel: 'error'});
  folder = await mkdtemp(join(tmpdir(), 'rhubarbstile-operators-'));
});
after(async () => {
  await cluster?.close();
  await rm(folder, {recursive: true, force: true});
});

async function runCli(
  args: readonly string[],
  token: string = DEV_SECRETS.operatorToken,
): Promise<TestProcess> {
  const node = cluster.nodes[0]!.settings.node.controlAddress;
  const flags = ['--node', node, '--token', token, '--operator', 'mere'];
  const process = new TestProcess('src/cli/main.js', [...args, ...flags]);
  await process.ended;
  return process;
}

async function runJson(...args: string[]) {
  const {exitCode, output} = await runCli([...args, '--json']);
  assert.equal(exitCode, 0, output);
  return JSON.parse(output);
}

test('publish --wait puts a change in force at every node and writes an audit record', async () => {
  const chat = DEV_FILES.find(file => file.path.startsWith('chat'))!;
  const text = chat.text.replace('timeout = 20s', 'timeout = 25s');
  await writeFile(join(folder, 'chat.ini'), text);
  const published = await runJson('publish', folder, '--wait');
  assert.deepEqual([...published.reached].sort(), [
    'node-1',
    'node-2',
    'node-3',
  ]);
  const shown = await runJson('config', 'show', 'chat');
  assert.match(shown.files[0].text, /timeout = 25s/);
  const {publications} = await runJson('config', 'history');
  assert.equal(publications[0].operator, 'mere');
  const {records} = await runJson('audit');
  const record = records.findLast(
    (one: {action: string}) => one.action === 'publish',
  );
  const {who, subject, before: was, after: is} = record;
  assert.deepEqual(
    {who, subject, was, is},
    {who: 'mere', subject: 'chat', was: 'timeout = 20s', is: 'timeout = 25s'},
  );
});

test('a wrong token, an unknown service and an unknown node each give a one-line error', async () => {
  const cases = [
    {
      args: ['status'],
      token: 'wrong',
      code: 5,
      expectedOutput: /Operator token refused/,
    },
    {
      args: ['services', 'caht'],
      code: 6,
      expectedOutput: /no service "caht"\. Services: chat, orders/,
    },
    {
      args: ['config', 'show', 'caht'],
      code: 6,
      expectedOutput: /no service "caht"/,
    },
    {
      args: ['drain', 'node-9'],
      code: 6,
      expectedOutput: /no node "node-9"\. Nodes: node-1/,
    },
  ];
  for (const {args, token, code, expectedOutput} of cases) {
    const {exitCode, output} = await runCli(args, token);
    assert.equal(exitCode, code, output);
    assert.equal(output.trim().split('\n').length, 1, output);
    assert.match(output, expectedOutput);
  }
});

test('drain of a node by name ends it, and the other nodes no longer list it as serving', async () => {
  await runJson('drain', 'node-3');
  await cluster.nodes[2]!.node.ended;
  await waitFor('node-3 to be left out', async () => {
    const {nodes} = await runJson('status');
    const serving = nodes
      .filter((one: NodeLine) => one.live && one.phase === 'serving')
      .map((one: NodeLine) => one.nodeId);
    return serving.join() === 'node-1,node-2';
  });
  const {records} = await runJson('audit');
  const drain = records.find((one: {action: string}) => one.action === 'drain');
  assert.equal(drain.subject, 'node-3');
});
