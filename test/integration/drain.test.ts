import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {SERVICE_FILES} from '../support/cluster_files.js';
import {TestCluster} from '../support/test_cluster.js';
import {callChat, callOrder} from '../support/call_services.js';
import {callHttp} from '../support/call_http.js';
import {readChat} from '../support/read_chat.js';
import {waitFor} from '../support/wait_for.js';

const STREAMS = 4;
const STREAM_TOKENS = 200;
const ORDERS = 3;
const SLOW_FACTOR = 0.02;
const FAST_FACTOR = 2;

let cluster: TestCluster;

before(async () => {
  const chat = SERVICE_FILES['chat.ini']!.replace('20s', '60s');
  cluster = await TestCluster.start({
    files: {...SERVICE_FILES, 'chat.ini': chat},
  });
  for (const node of cluster.nodes) {
    await waitFor(`services at ${node.name}`, async () => {
      const order = await callOrder(node.callerUrl, `first-${node.name}`);
      const chat = await callChat(node.callerUrl);
      return order.status === 200 && chat.status === 200;
    });
  }
});

after(() => cluster.close());

/** Sets the speed of streams, so that they last as long as the test needs them. */
async function setSpeed(factor: number): Promise<void> {
  const engines = cluster.vms.filter(vm => vm.kind === 'engine');
  await Promise.all(
    engines.map(vm => cluster.callStandin(vm.url, 'speed', {factor})),
  );
}

async function countRuns(prefix: string): Promise<number> {
  const application = cluster.vms.find(vm => vm.kind === 'application')!;
  const answer = await callHttp(`${application.url}/standin/runs`);
  return Object.keys(JSON.parse(answer.body)).filter(call =>
    call.includes(prefix),
  ).length;
}

async function readEntries(callerUrl: string): Promise<string[]> {
  const answer = await callHttp(`${callerUrl}/v1/entries?service=chat`);
  const {entries} = JSON.parse(answer.body);
  return entries.map((entry: {address: string}) => entry.address);
}

test('a node that gets SIGTERM under load completes running requests, refuses new ones and exits with 0', async () => {
  const [draining, ...others] = cluster.nodes;
  const address = draining!.callerUrl.replace('http://', '');
  let startedCount = 0;
  const streams = Array.from({length: STREAMS}, (_, at) => {
    let hasStarted = false;
    const onData = () => {
      startedCount += hasStarted ? 0 : 1;
      hasStarted = true;
    };
    return callChat(draining!.callerUrl, {
      prompt: `story ${at}`,
      outputTokens: STREAM_TOKENS,
      onData,
    });
  });
  await setSpeed(SLOW_FACTOR);
  const orders = Array.from({length: ORDERS}, (_, at) =>
    callOrder(draining!.callerUrl, `held-${at}`, {query: '?delayMs=2000'}),
  );
  await waitFor('all streams', () => startedCount === STREAMS);
  await waitFor('all orders', async () => (await countRuns('held')) === ORDERS);

  draining!.process.signal('SIGTERM');
  const chat = await waitFor('a refused chat', async () => {
    const answer = await callChat(draining!.callerUrl, {outputTokens: 1});
    return answer.status === 503 && answer;
  });
  const order = await callOrder(draining!.callerUrl, 'new-order');
  for (const refusal of [chat, order]) {
    assert.equal(refusal.status, 503);
    assert.equal(refusal.headers['rhubarbstile-verdict'], 'not-run');
    const {error, entries} = JSON.parse(refusal.body);
    assert.equal(error.name, 'NodeDraining');
    const named = entries.map((entry: {address: string}) => entry.address);
    assert.ok(named.length > 0);
    assert.ok(!named.includes(address));
  }
  for (const node of others) {
    await waitFor(`entries of ${node.name}`, async () => {
      const named = await readEntries(node.callerUrl);
      return named.length === others.length && !named.includes(address);
    });
  }
  assert.equal(draining!.process.exitCode, null);

  await setSpeed(FAST_FACTOR);
  for (const stream of await Promise.all(streams)) {
    const {tokens, done, error} = readChat(stream.body);
    assert.equal(error, undefined);
    assert.equal(done, true);
    assert.equal(tokens, STREAM_TOKENS);
  }
  for (const {status} of await Promise.all(orders)) assert.equal(status, 200);
  await draining!.process.ended;
  assert.equal(draining!.process.exitCode, 0);
  await assert.rejects(callChat(draining!.callerUrl), {code: 'ECONNREFUSED'});
  assert.equal(await countRuns('new-order'), 0);
  const stored = await callOrder(others[0]!.callerUrl, 'held-0', {
    query: '?delayMs=2000',
  });
  assert.equal(stored.status, 200);
  assert.equal(await countRuns('held'), ORDERS);
});
