import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {ServingNodeHarness} from '../../support/serving_node_harness.js';
import {createTestEngine} from '../../support/serving_node_harness.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {isEngineChange} from '../../../src/core/fleet/index.js';
import {latestTerm} from '../../../src/core/steward/latest_term.js';
import {makeId} from '../../../src/core/ids/index.js';
import {readEngine} from '../../../platform/engines/read_engine.js';
import {waitFor} from '../../support/wait_for.js';

const DEPTH = 200_000;
const DEEP = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`;
const ENTRY = {
  service: 'desk',
  address: '127.0.0.1:1',
  zone: 'zone-a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  born: 1000,
  sequence: 1,
};
const GROUP = {name: 'g', epoch: 3, rank: 0, state: 'open'};

/** Entries of another writer; none of them names an engine that can be used. */
const ODD_ENTRIES: readonly string[] = [
  ...['127.0.0.1:70000', '127.0.0.1:0', '999.0.0.1:80', '1:80', ':80'].map(
    address => JSON.stringify({...ENTRY, address}),
  ),
  ...['1e300', '1e400', '-5', '2.5'].flatMap(number => [
    JSON.stringify(ENTRY).replace('"slots":6', `"slots":${number}`),
    JSON.stringify(ENTRY).replace('"sequence":1', `"sequence":${number}`),
    JSON.stringify({...ENTRY, group: GROUP}).replace(
      '"epoch":3',
      `"epoch":${number}`,
    ),
  ]),
  DEEP,
  JSON.stringify({...ENTRY, models: 'deep'}).replace('"deep"', DEEP),
  JSON.stringify({...ENTRY, group: 'deep'}).replace('"deep"', DEEP),
];

const respond: RawResponder = socket =>
  void socket.write(
    'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello',
  );

describe('an odd entry of another writer', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  it('names no engine', () => {
    for (const text of ODD_ENTRIES) {
      const engine = readEngine(makeId('i-odd'), text, 1);
      assert.equal(typeof engine, 'string', text.slice(0, 200));
    }
  });

  it('among the engines does not stop a node that reads the list', async () => {
    adapter = await AdapterNode.start([respond]);
    const {store, logs} = adapter;
    for (const [at, text] of ODD_ENTRIES.entries()) {
      store.put(`servers/i-odd-${at}`, text);
    }
    const [address] = adapter.engineAddresses;
    store.put('servers/i-late', {...ENTRY, address, sequence: 2});
    await waitFor('the late entry is read', () =>
      adapter!.node.state.engines.has(makeId('i-late')),
    );
    assert.deepEqual(
      [...adapter.node.state.engines.keys()].filter(id => id.includes('odd')),
      [],
    );
    for (let count = 0; count < 10; count++) {
      assert.equal((await adapter.call('safe')).status, 200);
    }
    assert.deepEqual(
      logs.filter(line => line.includes('uncaught')),
      [],
    );
  });

  it('among the nodes does not stop a node that sends digests', async () => {
    adapter = await AdapterNode.start([respond]);
    const {store} = adapter;
    const good = {address: '127.0.0.1:1', zone: 'zone-a', cores: 1};
    const odd = [
      {...good, address: '127.0.0.1:70000'},
      {...good, address: 7},
      {...good, zone: 7},
      {...good, cores: 1e300},
      {...good, cores: -1},
      {...good, cores: 'many'},
      7,
      null,
    ];
    for (const [at, value] of odd.entries()) {
      store.put(`rhubarbstile/nodes/odd-${at}`, value);
    }
    store.put('rhubarbstile/nodes/edge-2', good);
    const {registeredNodes} = adapter.node.state.exchange;
    await waitFor('the late entry is read', () =>
      registeredNodes.has(makeId('edge-2')),
    );
    assert.deepEqual(
      [...registeredNodes.keys()].filter(id => id.startsWith('odd')),
      [],
    );
    assert.equal((await adapter.call('safe')).status, 200);
  });

  it('is not taken over from a peer', () => {
    const engine = createTestEngine(0);
    const {vmId, revision} = engine;
    assert.equal(isEngineChange({vmId, revision, engine}), true);
    assert.equal(isEngineChange({vmId, revision}), true);
    const membership = {...GROUP, replicaId: 'g', stage: 'open'};
    const odd = [
      {...engine, address: '127.0.0.1:70000'},
      {...engine, slotCount: 1e300},
      {...engine, slotCount: -5},
      {...engine, models: 'm'},
      {...engine, bornAtMs: 1e300},
      {...engine, membership: {...membership, epoch: 1e300}},
      {...engine, membership: {...membership, stage: 'odd'}},
      'engine',
      null,
    ];
    for (const one of odd) {
      const change = {vmId, revision, engine: one};
      assert.equal(isEngineChange(change), false, JSON.stringify(one));
      const node = new ServingNodeHarness().start();
      const digest = node.createPeerDigest({changes: [change as never]});
      const decoded = digestCodec.decode(digestCodec.encode(digest));
      assert.deepEqual(decoded?.changes, []);
    }
  });

  it('in a digest leads to no address that cannot be called', () => {
    const node = new ServingNodeHarness().start();
    const digest = node.createPeerDigest({
      stewardAddress: '127.0.0.1:70000',
      probeRequests: [
        {vmId: makeId('i-1'), address: '127.0.0.1:70000', peers: []},
      ],
    });
    const decoded = digestCodec.decode(digestCodec.encode(digest));
    assert.equal(decoded?.stewardAddress, undefined);
    assert.deepEqual(decoded?.probeRequests, []);
    const foreign = {...digest, peerAddress: '127.0.0.1:70000'};
    assert.equal(digestCodec.decode(digestCodec.encode(foreign)), undefined);
  });

  it('with an epoch near the largest exact number does not stop the epochs of stewards', () => {
    const node = new ServingNodeHarness().start();
    const engine = createTestEngine(0);
    const epoch = Number.MAX_SAFE_INTEGER;
    const membership = {
      replicaId: makeId<never>('g'),
      epoch,
      rank: 0,
      stage: 'open',
    } as const;
    node.state.engines.set(engine.vmId, {...engine, membership});
    assert.equal(latestTerm(node.state), -1);
  });
});
