import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {TestCluster} from '../support/test_cluster.js';
import {callChat, callOrder} from '../support/call_services.js';
import {callHttp} from '../support/call_http.js';
import {readChat} from '../support/read_chat.js';
import {waitFor} from '../support/wait_for.js';

let cluster: TestCluster;

before(async () => {
  cluster = await TestCluster.start();
});

after(() => cluster.close());

test('each node lists all three nodes as entries', async () => {
  for (const node of cluster.nodes) {
    await waitFor(`entries of ${node.name}`, async () => {
      const answer = await callHttp(
        `${node.callerUrl}/v1/entries?service=chat`,
      );
      const {entries, keepMs} = JSON.parse(answer.body);
      return entries.length === 3 && keepMs > 0;
    });
  }
});

test('a streamed chat response reaches the caller complete through every node', async () => {
  const texts = new Set<string>();
  for (const node of cluster.nodes) {
    const chat = await waitFor(`chat through ${node.name}`, async () => {
      const answer = await callChat(node.callerUrl, {outputTokens: 12});
      return answer.status === 200 && answer;
    });
    const {text, tokens, done, error} = readChat(chat.body);
    assert.equal(error, undefined);
    assert.equal(done, true);
    assert.equal(tokens, 12);
    texts.add(text);
  }
  assert.equal(texts.size, 1);
});

test('an order runs once, and its response is stored', async () => {
  const [first, , third] = cluster.nodes;
  const answer = await waitFor('the order service', async () => {
    const tried = await callOrder(first!.callerUrl, 'order-1');
    return tried.status === 200 && tried;
  });
  const again = await callOrder(third!.callerUrl, 'order-1');
  assert.equal(again.status, 200);
  assert.equal(again.body, answer.body);
  const application = cluster.vms.find(vm => vm.kind === 'application')!;
  const runs = await callHttp(`${application.url}/standin/runs`);
  const counts = Object.entries<number>(JSON.parse(runs.body));
  const ours = counts.filter(([key]) => key.includes('order-1'));
  assert.deepEqual(
    ours.map(([, count]) => count),
    [1],
  );
});
