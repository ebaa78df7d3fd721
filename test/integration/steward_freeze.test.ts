import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {DomainDocument} from '../../src/core/replicas/types.js';
import {TestCluster} from '../support/test_cluster.js';
import {callChat} from '../support/call_services.js';
import {callHttp} from '../support/call_http.js';
import {readChat} from '../support/read_chat.js';
import {waitFor} from '../support/wait_for.js';

const TAKE_OVER_LIMIT_MS = 30_000;
const REPAIR_LIMIT_MS = 60_000;

let cluster: TestCluster;

before(async () => {
  cluster = await TestCluster.start({
    engines: 3,
    enginesPerDomain: 3,
    checksFencing: false,
  });
});

after(() => cluster.close());

async function readEntry<T>(key: string): Promise<T | undefined> {
  const url = `${cluster.platformUrl}/standin/entries?prefix=${key}`;
  const [entry] = JSON.parse((await callHttp(url)).body);
  return entry && (JSON.parse(entry.value) as T);
}

/** Reads the name of the node that is steward of the domain. */
async function readSteward(): Promise<string | undefined> {
  const record = await readEntry<{incarnation: string}>('stewards/d0');
  return record?.incarnation.split('/')[0];
}

async function readServing(): Promise<DomainDocument | undefined> {
  const document = await readEntry<DomainDocument>('domains/d0');
  return document?.replicas[0]?.state === 'serving' ? document : undefined;
}

/** Reads the IDs of the orders that an engine received; each contains the name of the node that sent it. */
async function readOrders(vmId: string): Promise<string[]> {
  const vm = cluster.vms.find(one => one.vmId === vmId)!;
  const stats = JSON.parse(await cluster.callStandin(vm.url, 'stats'));
  return stats.orders.map((order: {orderId: string}) => order.orderId);
}

test('a steward that is frozen past its lease and then resumed changes nothing', async () => {
  const before = await waitFor(
    'the first replica',
    readServing,
    REPAIR_LIMIT_MS,
  );
  const name = (await readSteward())!;
  const frozen = cluster.nodes.find(node => node.name === name)!;
  const others = cluster.nodes.filter(node => node !== frozen);
  const [lost, remaining] = before.replicas[0]!.vms;
  const spare = cluster.vms.find(
    vm => vm.kind === 'engine' && vm.vmId !== lost && vm.vmId !== remaining,
  )!;

  frozen.process.signal('SIGSTOP');
  await cluster.vms.find(vm => vm.vmId === lost)!.process.kill();
  const successor = await waitFor(
    'another steward',
    async () => {
      const steward = await readSteward();
      return steward !== name && steward;
    },
    TAKE_OVER_LIMIT_MS,
  );
  const repaired = await waitFor(
    'the repaired replica',
    async () => {
      const document = await readServing();
      const vms = document?.replicas[0]!.vms;
      return vms?.includes(spare.vmId as never) && document;
    },
    REPAIR_LIMIT_MS,
  );
  assert.equal(repaired.fencingToken, before.fencingToken + 1);
  const seen = await readOrders(spare.vmId);
  assert.ok(seen.every(orderId => orderId.startsWith(`or-${successor}/`)));

  frozen.process.signal('SIGCONT');
  for (const node of [frozen, ...others]) {
    const chat = await waitFor(`chat through ${node.name}`, async () => {
      const answer = await callChat(node.callerUrl, {outputTokens: 12});
      assert.equal(answer.status, 200, `${node === frozen} ${answer.body}`);
      return answer;
    });
    assert.equal(readChat(chat.body).done, true);
  }
  assert.equal(await readSteward(), successor);
  assert.deepEqual(await readServing(), repaired);
  assert.deepEqual(await readOrders(spare.vmId), seen);
});
