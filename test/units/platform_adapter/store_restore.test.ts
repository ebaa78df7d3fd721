import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {KvPlatformStore} from '../../../platform/store/kv_platform_store.js';
import {KvStandin} from '../../support/kv_standin.js';
import {findUnusedPorts} from '../../support/find_unused_ports.js';
import {storeVersion} from '../../../src/core/store/index.js';
import {waitFor} from '../../support/wait_for.js';

const SIGNED =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: signature\r\n';
/** Time after a restore by which the operator and the engines have written their entries again. */
const REWRITTEN_MS = 2200;
/** When the operator has written its configuration again. */
const OPERATOR_MS = 1000;
/** A start with ample room for a loaded machine, well below the time that an unsettled era takes. */
const SOUND_START_MS = 1000;

const completeResponse: RawResponder = socket =>
  void socket.write(`${SIGNED}Content-Length: 5\r\n\r\nhello`);

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a store that was restored from a backup', () => {
  let adapter: AdapterNode;
  afterEach(() => adapter.close());

  function register(at: number, overrides: object = {}): void {
    adapter.store.put(`servers/i-${at}`, {
      service: 'desk',
      address: adapter.engineAddresses[at],
      zone: 'zone-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      born: 1000,
      sequence: 2,
      ...overrides,
    });
  }

  /** Writes at revisions that the backup lacks and the restored store assigns again. */
  function writeUnrelated(count: number): void {
    for (let at = 0; at < count; at++) adapter.store.put(`other/${at}`, 'x');
  }

  /** Registers the engines again, so that the node holds them at revisions that the backup lacks. */
  async function reregisterEngines(count: number): Promise<void> {
    writeUnrelated(count);
    zoneNumber += 1;
    for (const at of adapter.engineAddresses.keys()) {
      register(at, {zone: `zone-${zoneNumber}`});
    }
    await waitFor('the engines', () =>
      [...adapter.node.state.engines.values()].every(
        ({zone}) => zone === `zone-${zoneNumber}`,
      ),
    );
  }
  let zoneNumber = 0;

  const targetIds = () => [...adapter.node.state.targets.keys()].sort().join();

  it('is followed at lower revisions: draining engines get no more requests', async () => {
    adapter = await AdapterNode.start([
      completeResponse,
      completeResponse,
      completeResponse,
    ]);
    const backup = adapter.store.createBackup();
    await reregisterEngines(40);
    adapter.store.restoreBackup(backup);
    const [port] = await findUnusedPorts(1);
    const unusedAddress = `127.0.0.1:${port}`;
    register(0, {state: 'draining', address: unusedAddress, sequence: 3});
    register(1, {state: 'draining', address: unusedAddress, sequence: 3});
    await waitFor('one target', () => targetIds() === 'i-2');
    for (let count = 0; count < 5; count++) {
      assert.equal((await adapter.call('safe')).status, 200);
    }
  });

  it('does not re-add engines that had left or were draining', async () => {
    adapter = await AdapterNode.start([
      completeResponse,
      completeResponse,
      completeResponse,
    ]);
    const backup = adapter.store.createBackup();
    register(0, {state: 'draining'});
    adapter.store.remove('servers/i-1');
    await waitFor('one target', () => targetIds() === 'i-2');
    const requests = adapter.engines.map(
      ({requests: received}) => received.length,
    );
    adapter.store.restoreBackup(backup);
    await waitFor('the new era', () => adapter.node.state.restore.era === 2);
    const untilMs = Date.now() + REWRITTEN_MS - 300;
    while (Date.now() < untilMs) {
      assert.equal((await adapter.call('safe')).status, 200);
      assert.equal(targetIds(), 'i-2');
      await sleep(50);
    }
    assert.equal(adapter.engines[0]!.requests.length, requests[0]);
    assert.equal(adapter.engines[1]!.requests.length, requests[1]);
  });

  it('keeps engines that the backup lacks until they have had time to register again', async () => {
    adapter = await AdapterNode.start([completeResponse, completeResponse]);
    const backup = adapter.store.createBackup();
    const {items} = backup;
    const withoutEngine = new Map(
      [...items].filter(([key]) => key !== 'servers/i-1'),
    );
    adapter.store.restoreBackup({...backup, items: withoutEngine});
    await waitFor('the new era', () => adapter.node.state.restore.era === 2);
    assert.equal(targetIds(), 'i-0,i-1');
    await sleep(REWRITTEN_MS - 700);
    assert.equal(targetIds(), 'i-0,i-1');
    await waitFor('its removal', () => targetIds() === 'i-0');
  });

  it('keeps the active configuration while the backup has an older one, and applies a newer one', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store, node} = adapter;
    const backup = store.createBackup();
    writeUnrelated(20);
    adapter.writeConfig(4);
    await waitFor('version 4', () => node.state.config?.version === 4);
    store.restoreBackup(backup);
    await waitFor('the new era', () => node.state.restore.era === 2);
    const provenAtMs = node.state.configProvenAtMs;
    await sleep(600);
    assert.equal(node.state.config?.version, 4);
    assert.equal(node.state.configProvenAtMs, provenAtMs);
    adapter.writeConfig(4);
    adapter.writeConfig(7);
    await waitFor('version 7', () => node.state.config?.version === 7);
    await waitFor(
      'a proof',
      () => node.state.configProvenAtMs > provenAtMs + REWRITTEN_MS,
    );
  });

  it('ends the term of the steward at once, and the next term is higher', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store, node} = adapter;
    const backup = store.createBackup();
    writeUnrelated(50);
    const {steward} = node.state;
    await waitFor('lease', () => steward.term !== undefined);
    const before = steward.term!;
    store.restoreBackup(backup);
    await waitFor('no lease', () => steward.term === undefined);
    await waitFor('lease again', () => steward.term !== undefined);
    assert.ok(steward.term! > before);
    assert.ok(steward.planningPausedUntilMs > 0);
  });

  it('lets no node that starts then accept a key that was taken away', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store, node} = adapter;
    const backup = store.createBackup();
    const tenants = [{name: 'stable', 'api-keys': ['other-key']}];
    adapter.writeConfig(4, {tenants});
    await waitFor('version 4', () => node.state.config?.version === 4);
    store.restoreBackup(backup);
    const late = await AdapterNode.start([], {
      nodeId: 'edge-2',
      host: '127.0.0.2',
      joined: adapter,
    });
    try {
      const restoredAtMs = Date.now();
      const received = adapter.engines[0]!.requests.length;
      while (Date.now() < restoredAtMs + OPERATOR_MS) {
        await late.call('safe');
        await sleep(50);
      }
      assert.equal(adapter.engines[0]!.requests.length, received);
      adapter.writeConfig(4, {tenants});
      await waitFor('version 4', () => late.node.state.config?.version === 4);
      await waitFor(
        'an answer',
        async () =>
          (await late.call('safe', {key: 'other-key'})).status === 200,
      );
      assert.equal((await late.call('safe')).status, 401);
    } finally {
      await late.close();
    }
  });

  it('makes a node that starts wait only until its era is marked as settled', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store} = adapter;
    const backup = store.createBackup();
    store.restoreBackup(backup);
    await waitFor('the mark of the new era', () =>
      adapter.logs.some(line =>
        line.includes('era marked as settled {"era":2}'),
      ),
    );
    const startedAtMs = Date.now();
    const late = await AdapterNode.start([], {
      nodeId: 'edge-2',
      host: '127.0.0.2',
      joined: adapter,
    });
    try {
      await waitFor(
        'an answer',
        async () => (await late.call('safe')).status === 200,
      );
      assert.ok(Date.now() - startedAtMs < SOUND_START_MS);
      assert.equal(late.node.state.restore.settledEra, 2);
    } finally {
      await late.close();
    }
  });

  it('is read again after several restores in a row', async () => {
    adapter = await AdapterNode.start([completeResponse, completeResponse]);
    const {store} = adapter;
    const backup = store.createBackup();
    for (let count = 0; count < 4; count++) {
      await reregisterEngines(10);
      store.restoreBackup(backup);
      await sleep(120);
    }
    register(0, {state: 'draining', sequence: 9});
    await waitFor('one target', () => targetIds() === 'i-1');
  });
});

describe('calls of a store that was restored from a backup', () => {
  let standin: KvStandin;
  let store: KvPlatformStore;
  afterEach(async () => {
    await store.close();
    standin.close();
  });

  async function start(): Promise<void> {
    standin = new KvStandin();
    store = new KvPlatformStore(await standin.listen());
  }

  it('do not renew a lease of an earlier era, whose ID may have been assigned again', async () => {
    await start();
    const backup = standin.createBackup();
    const granted = await store.call({kind: 'grantLease', ttlMs: 5000}, 500);
    assert.ok(granted.kind === 'ok' && granted.leaseId !== undefined);
    const {leaseId} = granted;
    standin.restoreBackup(backup);
    const other = new KvPlatformStore(standin.address);
    await other.call({kind: 'grantLease', ttlMs: 5000}, 500);
    await other.close();
    const renewed = await store.call({kind: 'keepAlive', leaseId}, 500);
    assert.deepEqual(renewed, {kind: 'conflict', era: 2});
    const before = standin.callCount;
    await store.call({kind: 'revokeLease', leaseId}, 500);
    assert.equal(standin.callCount, before);
  });

  it('order versions by era and revision, and continue no watch or swap of an earlier era', async () => {
    await start();
    const backup = standin.createBackup();
    for (let at = 0; at < 5; at++) standin.put('area/a', `old ${at}`);
    const first = await store.call({kind: 'list', prefix: 'area/'}, 500);
    standin.restoreBackup(backup);
    standin.put('area/a', 'new');
    const sinceVersion = first.kind === 'ok' ? first.version! : 0;
    const watched = await store.call(
      {kind: 'watch', prefix: 'area/', sinceVersion, timeoutMs: 50},
      500,
    );
    assert.equal(watched.kind, 'conflict');
    const second = await store.call({kind: 'get', key: 'area/a'}, 500);
    assert.ok(second.kind === 'ok' && first.kind === 'ok');
    const [entry] = second.entries!;
    assert.ok(entry!.version > first.entries![0]!.version);
    assert.equal(storeVersion.eraOf(entry!.version), 2);
    const swapped = await store.call(
      {
        kind: 'compareAndSwap',
        key: 'area/a',
        expectedVersion: first.entries![0]!.version,
        value: 'x',
      },
      500,
    );
    assert.equal(swapped.kind, 'conflict');
  });

  it('treat a response of an earlier era as unavailable', async () => {
    await start();
    standin.era = 5;
    standin.put('area/a', 'x');
    assert.equal((await store.call({kind: 'get', key: 'area/a'}, 500)).era, 5);
    standin.era = 4;
    assert.deepEqual(await store.call({kind: 'get', key: 'area/a'}, 500), {
      kind: 'unavailable',
    });
  });
});
