import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {describe, it} from 'node:test';
import type {AddressInfo} from 'node:net';
import type {EngineList} from '../../../src/serving/types.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {resolvePeerAddress} from '../../../src/serving/resolve_peer_address.js';
import {fetchDocument} from '../../../src/serving/fetch_document.js';

const TIMEOUT_MS = 500;
const clock = {nowMs: () => performance.now()};

describe('documents that nodes serve to their peers', () => {
  it('contain the configuration as the operator wrote it and all engines, with the age of their last proof', async () => {
    const adapter = await AdapterNode.start([() => {}, () => {}]);
    try {
      const {documents} = adapter;
      const requestedAtMs = clock.nowMs();
      const config = await fetchDocument(
        clock,
        documents,
        '/configuration',
        TIMEOUT_MS,
      );
      assert.ok(!(config instanceof Error));
      const text = JSON.parse(config.text) as {version: number};
      assert.equal(text.version, 1);
      assert.ok(config.provenAtMs <= requestedAtMs + TIMEOUT_MS);
      const engines = await fetchDocument(
        clock,
        documents,
        '/engines',
        TIMEOUT_MS,
      );
      assert.ok(!(engines instanceof Error));
      const {changes, revision} = JSON.parse(engines.text) as EngineList;
      assert.deepEqual(changes.map(({vmId}) => vmId).sort(), ['i-0', 'i-1']);
      assert.ok(changes.every(change => change.revision <= revision));
      const other = await fetchDocument(clock, documents, '/x', TIMEOUT_MS);
      assert.ok(other instanceof Error);
    } finally {
      await adapter.close();
    }
  });

  it('fail to load when a node refuses the connection, does not answer, or sends invalid compressed data', async () => {
    const server = createServer((message, response) => {
      if (message.url === '/spoiled') response.end('no gzip');
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    for (const path of ['/spoiled', '/silent']) {
      const result = await fetchDocument(clock, address, path, 100);
      assert.ok(result instanceof Error, path);
    }
    server.closeAllConnections();
    await new Promise(done => server.close(done));
    const refused = await fetchDocument(clock, address, '/', TIMEOUT_MS);
    assert.ok(refused instanceof Error);
  });

  it('are requested at the same port of every node', () => {
    const address = resolvePeerAddress('10.2.0.9:7340', '10.1.0.1:7341');
    assert.equal(address, '10.2.0.9:7341');
  });
});
