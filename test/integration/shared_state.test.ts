import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {ConfigShowAnswer} from '../../src/core/operators/types.js';
import {SERVICE_FILES} from '../support/cluster_files.js';
import {TestCluster} from '../support/test_cluster.js';
import {callChat, callOrder} from '../support/call_services.js';
import {callHttp} from '../support/call_http.js';
import {readChat} from '../support/read_chat.js';
import {waitFor} from '../support/wait_for.js';

interface Shown {
  readonly data: ConfigShowAnswer;
}

let cluster: TestCluster;

before(async () => {
  cluster = await TestCluster.start();
  await waitFor('the chat service', async () => {
    const answer = await callChat(cluster.nodes[0]!.callerUrl);
    return answer.status === 200;
  });
});

after(() => cluster.close());

/** Publishes a chat service with a time-out of `seconds` through the node at index `at`, as an operator would. */
function publishChat(
  at: number,
  seconds: number,
  publicationId: string,
  baseRevision?: number,
) {
  const text = SERVICE_FILES['chat.ini']!.replace('20s', `${seconds}s`);
  return cluster
    .callOperator('publish', cluster.nodes[at]!, {
      publicationId,
      files: [{path: 'chat.ini', text}],
      prune: false,
      ...(baseRevision !== undefined && {baseRevision}),
    })
    .then(
      answer => ({isAccepted: true, text: JSON.stringify(answer)}),
      (error: Error) => ({isAccepted: false, text: error.message}),
    );
}

async function showConfig(at: number): Promise<Shown['data']> {
  const shown = await cluster.callOperator('configShow', cluster.nodes[at]!);
  return (shown as Shown).data;
}

test('when two operators publish the same service concurrently, one succeeds and the other gets both texts', async () => {
  const before = await showConfig(0);
  const answers = await Promise.all([
    publishChat(0, 21, 'publication-of-one', before.revision),
    publishChat(1, 22, 'publication-of-two', before.revision),
  ]);
  const accepted = answers.filter(answer => answer.isAccepted);
  assert.equal(accepted.length, 1, answers.map(one => one.text).join('\n'));
  const revision = before.revision + 1;
  const shown = await Promise.all(
    cluster.nodes.map((node, at) =>
      waitFor(`the revision at ${node.name}`, async () => {
        const config = await showConfig(at);
        return config.revision >= revision && config;
      }),
    ),
  );
  const texts = shown.map(
    config => config.files.find(one => one.name === 'chat')!.text,
  );
  assert.equal(new Set(texts).size, 1, 'all nodes have the same text');
  const refused = answers.find(answer => !answer.isAccepted)!;
  assert.match(refused.text, /ConfigConflict/);
  assert.match(refused.text, /timeout = 21s/);
  assert.match(refused.text, /timeout = 22s/);
});

test('without the store, every node serves chat and refuses orders as not run, and recovers afterwards', async () => {
  const application = cluster.vms.find(vm => vm.kind === 'application')!;
  for (const {platform} of cluster.nodes) {
    platform.setMode('refuse');
    platform.resetConnections();
  }
  for (const node of cluster.nodes) {
    await waitFor(`a refusal at ${node.name}`, async () => {
      const order = await callOrder(node.callerUrl, `outage-${node.name}`);
      return order.body.includes('OnceLedgerUnavailable');
    });
  }
  for (const node of cluster.nodes) {
    const order = await callOrder(node.callerUrl, 'outage');
    assert.equal(order.status, 503);
    assert.equal(order.headers['rhubarbstile-verdict'], 'not-run');
    const chat = await callChat(node.callerUrl, {outputTokens: 10});
    assert.equal(chat.status, 200);
    assert.equal(readChat(chat.body).tokens, 10);
  }
  const publication = await publishChat(0, 25, 'publication-in-outage');
  assert.match(publication.text, /StoreUnavailable/);
  const runs = await callHttp(`${application.url}/standin/runs`);
  assert.ok(!runs.body.includes('outage'), 'a refused order must not run');
  for (const {platform} of cluster.nodes) platform.setMode('pass');
  for (const node of cluster.nodes) {
    await waitFor(`an order through ${node.name}`, async () => {
      const order = await callOrder(node.callerUrl, `after-${node.name}`);
      return order.status === 200;
    });
  }
});
