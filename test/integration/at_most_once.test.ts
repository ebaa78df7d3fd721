import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {SERVICE_FILES} from '../support/cluster_files.js';
import {TestCluster} from '../support/test_cluster.js';
import {callChat, callOrder} from '../support/call_services.js';
import {callHttp} from '../support/call_http.js';
import {readChat} from '../support/read_chat.js';
import {waitFor} from '../support/wait_for.js';

type Node = TestCluster['nodes'][number];

interface Sent {
  readonly key: string;
  readonly verdict: string;
}

/** Key and verdict of every order that a test of this file sent and got a response to. */
const sent: Sent[] = [];
let cluster: TestCluster;

before(async () => {
  const orders = SERVICE_FILES['orders.ini']!.replace('5s', '20s');
  cluster = await TestCluster.start({
    files: {...SERVICE_FILES, 'orders.ini': orders},
  });
  for (const node of cluster.nodes) {
    await waitFor(`services at ${node.name}`, async () => {
      const order = await send(node, `first-${node.name}`);
      const chat = await callChat(node.callerUrl);
      return order.status === 200 && chat.status === 200;
    });
  }
});

after(() => cluster.close());

async function send(
  node: Node,
  key: string,
  options: Parameters<typeof callOrder>[2] = {},
) {
  const answer = await callOrder(node.callerUrl, key, options);
  const verdict = String(answer.headers['rhubarbstile-verdict']);
  sent.push({key, verdict});
  return {...answer, verdict};
}

/** Reads how often each order ran, by key. */
async function readRuns(): Promise<Map<string, number>> {
  const {url} = cluster.vms.find(vm => vm.kind === 'application')!;
  const answer = await callHttp(`${url}/standin/runs`);
  const runs = Object.entries<number>(JSON.parse(answer.body));
  return new Map(runs.map(([call, count]) => [call.split(' ')[2]!, count]));
}

async function waitForRun(key: string): Promise<void> {
  await waitFor(`a run of ${key}`, async () => (await readRuns()).has(key));
}

async function waitForAnswer(node: Node, key: string, query = '') {
  return waitFor(`the stored response of ${key} at ${node.name}`, async () => {
    const answer = await send(node, key, {query});
    return answer.status === 200 && answer;
  });
}

test('a key sent to two nodes at the same time runs once', async () => {
  const [one, other] = cluster.nodes;
  const keys = Array.from({length: 20}, (_, at) => `two-nodes-${at}`);
  const query = '?delayMs=100';
  await Promise.all(
    keys.flatMap(key => [send(one!, key, {query}), send(other!, key, {query})]),
  );
  for (const key of keys) {
    const answer = await waitForAnswer(one!, key, query);
    const again = await waitForAnswer(other!, key, query);
    assert.equal(again.body, answer.body);
  }
  const runs = await readRuns();
  for (const key of keys) assert.equal(runs.get(key), 1, key);
});

test('a key that is reused with another body is refused with 422 by every node', async () => {
  const answer = await send(cluster.nodes[0]!, 'other-body');
  assert.equal(answer.status, 200);
  for (const node of cluster.nodes) {
    const refusal = await send(node, 'other-body', {body: {item: 'mule'}});
    assert.equal(refusal.status, 422);
    assert.equal(refusal.verdict, 'not-run');
  }
  assert.equal((await readRuns()).get('other-body'), 1);
});

test('a node without access to the store refuses orders as not run and serves chat', async () => {
  const [, other, isolated] = cluster.nodes;
  isolated!.platform.setMode('refuse');
  isolated!.platform.resetConnections();
  let probes = 0;
  await waitFor('a refusal', async () => {
    const order = await send(isolated!, `probe-${probes++}`);
    return order.body.includes('OnceLedgerUnavailable');
  });
  const refusal = await send(isolated!, 'store-down');
  assert.equal(refusal.status, 503);
  assert.equal(refusal.verdict, 'not-run');
  assert.equal((await readRuns()).has('store-down'), false);
  const chat = await callChat(isolated!.callerUrl, {outputTokens: 10});
  assert.equal(chat.status, 200);
  assert.equal(readChat(chat.body).tokens, 10);
  assert.equal(readChat(chat.body).done, true);
  const accepted = await send(other!, 'store-down');
  assert.equal(accepted.status, 200);
  isolated!.platform.setMode('pass');
  const stored = await waitForAnswer(isolated!, 'store-down');
  assert.equal(stored.body, accepted.body);
  assert.equal((await readRuns()).get('store-down'), 1);
});

async function countClaims(): Promise<number> {
  const url = `${cluster.platformUrl}/standin/entries?prefix=once/`;
  return JSON.parse((await callHttp(url)).body).length;
}

/** Sends an order whose claim is written to the store while the store's response is lost. */
async function sendWithLostClaim(node: Node, key: string) {
  const before = await countClaims();
  node.platform.setMode('lose-answers');
  const answer = send(node, key);
  await waitFor(
    'the claim to be written',
    async () => (await countClaims()) > before,
  );
  // The response to the claim is among the lost bytes once more bytes are lost after the claim was written.
  const lost = node.platform.droppedBytes;
  await waitFor('a lost response', () => node.platform.droppedBytes > lost);
  node.platform.setMode('pass');
  return answer;
}

test('a claim whose response is lost is read back, and its order runs once', async () => {
  const [node, other] = cluster.nodes;
  let attempts = 0;
  // On a busy machine the read may fail too; the verdict `not-run` must then be correct.
  await waitFor('an order that succeeds', async () => {
    const key = `lost-${attempts++}`;
    await waitForAnswer(node!, `before-${key}`);
    const answer = await sendWithLostClaim(node!, key);
    if (answer.status !== 200) {
      assert.equal(answer.verdict, 'not-run');
      assert.equal((await readRuns()).has(key), false);
    }
    const again = await waitForAnswer(other!, key);
    assert.equal((await readRuns()).get(key), 1);
    return answer.status === 200 && again.body === answer.body;
  });
});

test('a key claimed by a frozen node is not run by another node', async () => {
  const [frozen, other] = cluster.nodes;
  const query = '?delayMs=1000';
  await waitForAnswer(frozen!, 'before-frozen');
  const first = send(frozen!, 'frozen', {query});
  await waitForRun('frozen');
  frozen!.process.signal('SIGSTOP');
  const second = await send(other!, 'frozen', {query});
  frozen!.process.signal('SIGCONT');
  assert.notEqual(second.status, 200);
  assert.equal(second.verdict, 'may-have-run');
  const answer = await first;
  if (answer.status === 200) {
    const stored = await waitForAnswer(other!, 'frozen', query);
    assert.equal(stored.body, answer.body);
  } else {
    assert.equal(answer.verdict, 'may-have-run');
  }
  assert.equal((await readRuns()).get('frozen'), 1);
});

test('a key claimed by a killed node is not run again by other nodes or by its next incarnation', async () => {
  const [killed, ...others] = cluster.nodes;
  const query = '?delayMs=60000';
  await waitForAnswer(killed!, 'before-killed');
  const first = send(killed!, 'killed', {query});
  const broken = assert.rejects(first, 'the connection breaks');
  await waitForRun('killed');
  await killed!.process.kill();
  await broken;
  cluster.restartNode(killed!);
  await waitFor('the next incarnation', async () => {
    const answer = await callHttp(`${killed!.callerUrl}/readyz`);
    return answer.status === 200;
  });
  for (const node of [...others, killed!]) {
    const refusal = await send(node, 'killed', {query});
    assert.notEqual(refusal.status, 200);
    assert.equal(refusal.verdict, 'may-have-run');
  }
  assert.equal((await readRuns()).get('killed'), 1);
});

test('no key ran twice, and no key ran whose requests were all refused as not run', async () => {
  const runs = await readRuns();
  for (const [key, count] of runs) assert.equal(count, 1, key);
  const possiblyRun = new Set(
    sent.filter(one => one.verdict !== 'not-run').map(one => one.key),
  );
  const refused = sent.filter(one => !possiblyRun.has(one.key));
  assert.ok(refused.length > 0);
  for (const {key} of refused) assert.equal(runs.has(key), false, key);
});
