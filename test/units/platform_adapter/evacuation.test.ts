import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {tmpdir} from 'node:os';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {readSettings} from '../../../platform/settings/read_settings.js';
import {sources} from '../../../platform/store/sources.js';
import {waitFor} from '../../support/wait_for.js';

const SIGNED =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: signature\r\n';
const EVACUATE_MS = 5000;
const options = {evacuateMs: EVACUATE_MS};

const complete: RawResponder = socket =>
  void socket.write(`${SIGNED}Content-Length: 5\r\n\r\nhello`);

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const targetsOf = ({node}: AdapterNode) =>
  [...node.state.targets.keys()].sort().join();

describe('evacuation of a zone in the store', () => {
  const nodes: AdapterNode[] = [];
  afterEach(async () => {
    for (const node of nodes.splice(0).reverse()) await node.close();
  });

  /** A node with the engines i-0 in `zone-a` and i-1 in `zone-b`. */
  async function start(
    responder = complete,
    settings: object = options,
  ): Promise<AdapterNode> {
    const adapter = await AdapterNode.start([responder, complete], settings);
    nodes.push(adapter);
    const address = adapter.engineAddresses[1]!;
    adapter.putEngine(1, address, {zone: 'zone-b', sequence: 2});
    await waitFor('the zone', () =>
      [...adapter.node.state.engines.values()].some(
        ({zone}) => zone === 'zone-b',
      ),
    );
    return adapter;
  }

  it('keeps requests from its engines until the key is removed', async () => {
    const adapter = await start();
    const {store, engines} = adapter;
    const startedAtMs = Date.now();
    store.put('op/evacuate/zone-a', {});
    await waitFor('one target', () => targetsOf(adapter) === 'i-1');
    assert.ok(Date.now() - startedAtMs < EVACUATE_MS);
    const before = engines[0]!.requests.length;
    for (let count = 0; count < 8; count++) {
      assert.equal((await adapter.call('safe')).status, 200);
    }
    assert.equal(engines[0]!.requests.length, before);
    store.put('op/evacuate/zone-b', {});
    await waitFor('no target', () => targetsOf(adapter) === '');
    const refused = await adapter.call('unsafe');
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) >= 2);
    store.remove('op/evacuate/zone-a');
    store.remove('op/evacuate/zone-b');
    await waitFor('both targets', () => targetsOf(adapter) === 'i-0,i-1');
    assert.equal((await adapter.call('safe')).status, 200);
    const returned = adapter.node.state.evacuation.returnedAtMsByZone;
    assert.deepEqual([...returned.keys()].sort(), ['zone-a', 'zone-b']);
  });

  it('lets a stream there run to its end', async () => {
    const head = `${SIGNED}Content-Type: text/event-stream\r\nContent-Length: 34\r\n\r\n`;
    let finish = () => {};
    const streaming: RawResponder = socket => {
      socket.write(`${head}id: 1\ndata: one\n\n`);
      finish = () => socket.write('id: 2\ndata: two\n\n');
    };
    const adapter = await start(streaming);
    const {store, engines} = adapter;
    store.put('op/evacuate/zone-b', {});
    await waitFor('one target', () => targetsOf(adapter) === 'i-0');
    const call = adapter.call('streaming');
    await waitFor('a request', () => engines[0]!.requests.length === 1);
    store.put('op/evacuate/zone-a', {});
    await waitFor('no target', () => targetsOf(adapter) === '');
    finish();
    const answer = await call;
    assert.equal(answer.status, 200);
    assert.match(answer.body, /one[^]*two/);
  });

  it('reaches a node that does not watch the store, and one that starts later', async () => {
    const first = await start();
    const second = await AdapterNode.start([], {
      ...options,
      nodeId: 'edge-2',
      host: '127.0.0.2',
      joined: first,
    });
    nodes.push(second);
    first.store.put('op/evacuate/zone-a', {});
    const startedAtMs = Date.now();
    await waitFor('one target', () => targetsOf(second) === 'i-1');
    assert.ok(Date.now() - startedAtMs < EVACUATE_MS);
    const third = await AdapterNode.start([], {
      ...options,
      nodeId: 'edge-3',
      host: '127.0.0.3',
      joined: first,
      targetCount: 1,
    });
    nodes.push(third);
    assert.equal(targetsOf(third), 'i-1');
  });

  it('outlasts a restore of the store that has lost the key, until it is written again', async () => {
    const adapter = await start();
    const {store, node} = adapter;
    const backup = store.createBackup();
    store.put('op/evacuate/zone-a', {});
    await waitFor('one target', () => targetsOf(adapter) === 'i-1');
    store.restoreBackup(backup);
    await waitFor('the new era', () => node.state.restore.era === 2);
    await sleep(1000);
    assert.equal(targetsOf(adapter), 'i-1');
    store.put('op/evacuate/zone-a', {});
    await sleep(2000);
    assert.equal(targetsOf(adapter), 'i-1');
    store.remove('op/evacuate/zone-a');
    await waitFor('both targets', () => targetsOf(adapter) === 'i-0,i-1');
  });

  it('adds no watch: that on the configuration covers both', async () => {
    const {store} = await start();
    await waitFor('a watch', () => store.watchCounts.has('op/'));
    const prefixes = [...store.watchCounts.keys()].sort();
    assert.deepEqual(prefixes, ['op/', 'servers/']);
  });

  it('changes nothing where the settings have no bound for it', async () => {
    const adapter = await start(complete, {});
    const {store} = adapter;
    store.put('op/evacuate/zone-a', {});
    adapter.writeConfig(2);
    await waitFor('version 2', () => adapter.node.state.config?.version === 2);
    assert.equal(targetsOf(adapter), 'i-0,i-1');
    assert.deepEqual([...store.watchCounts.keys()].sort(), [
      'op/config',
      'servers/',
    ]);
  });
});

describe('decoding of evacuations', () => {
  it('reads the zone from a key, and none from other keys', () => {
    assert.equal(sources.parseEvacuatedZone('op/evacuate/zone-a'), 'zone-a');
    for (const key of ['op/config', 'op/evacuate/', 'op/evacuated/zone-a']) {
      assert.equal(sources.parseEvacuatedZone(key), undefined);
    }
  });

  it('reads the bound from the settings file, and refuses one that is no time', () => {
    const folder = mkdtempSync(join(tmpdir(), 'settings-'));
    const path = join(folder, 'node.json');
    const read = (bounds: object) => {
      const settings = {
        'node-name': 'edge-1',
        zone: 'zone-a',
        ip: '127.0.0.1',
        listen: {front: 'a:1', ready: 'a:2', directory: 'a:3'},
        'internal-ports': [4, 6],
        bounds: {
          'grace-s': 8,
          'retry-budget-ratio': 0.2,
          'retry-slack': 300,
          'budget-window-s': 10,
          ...bounds,
        },
        platform: {address: 'a:9'},
      };
      writeFileSync(path, JSON.stringify(settings));
      return readSettings(path);
    };
    try {
      const settings = read({'evacuate-ms': 5000})._unsafeUnwrap();
      assert.equal(settings.bounds.evacuateMs, 5000);
      assert.equal(read({})._unsafeUnwrap().bounds.evacuateMs, undefined);
      assert.ok(read({'evacuate-ms': 0}).isErr());
      assert.ok(read({'evacuate-ms': 'soon'}).isErr());
    } finally {
      rmSync(folder, {recursive: true});
    }
  });
});
