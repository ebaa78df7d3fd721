import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {DomainDocument} from '../../src/core/replicas/types.js';
import {SERVICE_FILES} from '../support/cluster_files.js';
import {TestCluster} from '../support/test_cluster.js';
import {callChat} from '../support/call_services.js';
import {callHttp} from '../support/call_http.js';
import {readChat} from '../support/read_chat.js';
import {waitFor} from '../support/wait_for.js';

const STREAMS = 4;
const STREAM_TOKENS = 200;
const PROBES = 12;
const SLOW_FACTOR = 0.02;
const NORMAL_FACTOR = 1;
const FAST_FACTOR = 2;
const REPLICAS_LIMIT_MS = 60_000;

type Vm = TestCluster['vms'][number];

interface Replica {
  readonly leader: Vm;
  readonly member: Vm;
}

/** Starts a cluster and returns its two replicas of two VMs each. */
async function startReplicas() {
  const chat = SERVICE_FILES['chat.ini']!.replace(
    'replicas = 1',
    'replicas = 2',
  ).replace('20s', '60s');
  const cluster = await TestCluster.start({
    engines: 4,
    enginesPerDomain: 4,
    files: {...SERVICE_FILES, 'chat.ini': chat},
  });
  const findVm = (vmId: string) => cluster.vms.find(vm => vm.vmId === vmId)!;
  const url = `${cluster.platformUrl}/standin/entries?prefix=domains/d0`;
  const find = async () => {
    const [entry] = JSON.parse((await callHttp(url)).body);
    const {replicas} = JSON.parse(entry.value) as DomainDocument;
    const serving = replicas.filter(one => one.state === 'serving');
    return serving.length === 2 && serving;
  };
  try {
    const servingReplicas = await waitFor(
      'two replicas',
      find,
      REPLICAS_LIMIT_MS,
    );
    const replicas = servingReplicas.map(({leader, vms}): Replica => {
      const member = vms.find(vmId => vmId !== leader)!;
      return {leader: findVm(leader), member: findVm(member)};
    });
    return {cluster, replicas};
  } catch (error) {
    await cluster.close();
    throw error;
  }
}

async function readStarted(cluster: TestCluster, vm: Vm): Promise<number> {
  return JSON.parse(await cluster.callStandin(vm.url, 'stats')).started;
}

async function setSpeed(
  cluster: TestCluster,
  replicas: readonly Replica[],
  factor: number,
): Promise<void> {
  await Promise.all(
    replicas.map(one => cluster.callStandin(one.leader.url, 'speed', {factor})),
  );
}

/** Opens streams until both replicas run some; those of the first replica are slowed down. */
async function openStreams(cluster: TestCluster, replicas: readonly Replica[]) {
  await setSpeed(cluster, replicas, SLOW_FACTOR);
  const open: ReturnType<typeof callChat>[] = [];
  let startedCount = 0;
  await waitFor('streams at both replicas', async () => {
    for (let at = 0; at < STREAMS; at++) {
      let hasStarted = false;
      const onData = () => {
        startedCount += hasStarted ? 0 : 1;
        hasStarted = true;
      };
      const node = cluster.nodes[at % cluster.nodes.length]!;
      const options = {outputTokens: STREAM_TOKENS, onData};
      const prompt = `story ${open.length}`;
      open.push(callChat(node.callerUrl, {...options, prompt}));
    }
    await waitFor(
      'the first token of every stream',
      () => startedCount === open.length,
    );
    const counts = replicas.map(one => readStarted(cluster, one.leader));
    return (await Promise.all(counts)).every(count => count > 0);
  });
  await setSpeed(cluster, replicas.slice(1), NORMAL_FACTOR);
  return open;
}

/** Sends short chat requests through all nodes concurrently. */
async function probe(cluster: TestCluster): Promise<void> {
  const probes = Array.from({length: PROBES}, (_, at) => {
    const node = cluster.nodes[at % cluster.nodes.length]!;
    return callChat(node.callerUrl, {outputTokens: 1, prompt: `probe ${at}`});
  });
  for (const {status, body} of await Promise.all(probes)) {
    if (status !== 200) continue;
    assert.equal(readChat(body).done, true);
  }
}

/** Waits until no requests start at a VM, then checks that none starts in four further rounds. */
async function assertAvoided(cluster: TestCluster, vm: Vm): Promise<void> {
  await waitFor(`no start at ${vm.vmId}`, async () => {
    const before = await readStarted(cluster, vm);
    await probe(cluster);
    await probe(cluster);
    return (await readStarted(cluster, vm)) === before;
  });
  const before = await readStarted(cluster, vm);
  for (let round = 0; round < 4; round++) await probe(cluster);
  assert.equal(await readStarted(cluster, vm), before);
}

test('a VM that the platform lists as leaving completes its streams and gets no new requests', async () => {
  const {cluster, replicas} = await startReplicas();
  try {
    const {leader} = replicas[0]!;
    const streams = await openStreams(cluster, replicas);
    const listed = cluster.vmRecords() as {vmId: string}[];
    const list = listed.map(record =>
      record.vmId === leader.vmId ? {...record, state: 'leaving'} : record,
    );
    await cluster.callStandin(cluster.platformUrl, 'vms', list);
    await assertAvoided(cluster, leader);
    await cluster.callStandin(leader.url, 'leave');
    await setSpeed(cluster, replicas, FAST_FACTOR);
    for (const stream of await Promise.all(streams)) {
      assert.equal(stream.status, 200, stream.body);
      const {tokens, done, error} = readChat(stream.body);
      assert.equal(error, undefined);
      assert.equal(done, true);
      assert.equal(tokens, STREAM_TOKENS);
    }
    const stats = JSON.parse(await cluster.callStandin(leader.url, 'stats'));
    assert.equal(stats.cancelled, 0, 'no stream was moved to another replica');
  } finally {
    await cluster.close();
  }
});

test('a replica that loses a member VM gets no requests, and its streams complete on another replica or end with a verdict', async () => {
  const {cluster, replicas} = await startReplicas();
  try {
    const {leader, member} = replicas[0]!;
    const streams = await openStreams(cluster, replicas);
    await member.process.kill();
    await assertAvoided(cluster, leader);
    await waitFor('the end of its streams', async () => {
      const stats = JSON.parse(await cluster.callStandin(leader.url, 'stats'));
      return stats.running === 0 && stats.cancelled > 0;
    });
    await setSpeed(cluster, replicas, FAST_FACTOR);
    for (const stream of await Promise.all(streams)) {
      assert.equal(stream.status, 200, stream.body);
      const {tokens, done, error} = readChat(stream.body);
      if (error) {
        assert.match(error.verdict, /^(may-have-run|ran)$/);
        continue;
      }
      assert.equal(done, true);
      assert.equal(tokens, STREAM_TOKENS);
    }
  } finally {
    await cluster.close();
  }
});
