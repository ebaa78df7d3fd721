import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {AdapterNode} from '../../support/adapter_node.js';
import {waitFor} from '../../support/wait_for.js';

const SIGNED =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\n';
const STREAM_HEAD = `${SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const BUFFERED = `${SIGNED}Content-Length: 4\r\n\r\nbody`;
/** Longer than the interval at which connections to removed engines are closed. */
const SERVES_ON_MS = 3000;
const DEADLINE_MS = 8000;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = (id: number) => chunk(`id: ${id}\ndata: ${id}\n\n`);

/** Sends the first event, and the rest some seconds later. */
function streamSlowly(socket: Socket): void {
  socket.write(STREAM_HEAD + event(1));
  setTimeout(() => socket.write(`${event(2)}0\r\n\r\n`), SERVES_ON_MS);
}

describe('an engine whose entry is removed while it serves on', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  async function startNode(
    respond: (socket: Socket) => void,
  ): Promise<AdapterNode> {
    adapter = await AdapterNode.start([respond]);
    adapter.writeConfig(2, {
      routes: ['safe', 'streaming'].map(type => ({
        name: type,
        host: 'desk.example',
        'path-prefix': `/${type}/`,
        type,
        'timeout-ms': DEADLINE_MS,
        'latency-goal-ms': 300,
        priority: 1,
        service: 'desk',
        'max-attempts': 1,
        anonymous: false,
        resumable: false,
      })),
    });
    const {state} = adapter.node;
    await waitFor('the configuration', () => state.config?.version === 2);
    return adapter;
  }

  function removeEngine({store, node}: AdapterNode): Promise<unknown> {
    store.remove('servers/i-0');
    return waitFor('the removal', () => node.state.engines.size === 0);
  }

  // Rule LOST: streams of such an engine were cut within 2 s.
  it('finishes its streams, and its connection is closed then', async () => {
    const node = await startNode(streamSlowly);
    let removal: Promise<unknown> | undefined;
    const answer = await node.call('streaming', {
      headers: {'x-deadline-ms': String(DEADLINE_MS)},
      onData: () => {
        removal ??= removeEngine(node);
      },
    });
    await removal;
    assert.equal(answer.body, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
    assert.equal(answer.whole, true);
    await waitFor(
      'the end of the connection',
      () => node.engines[0]!.closedSocketCount > 0,
    );
  });

  it('gets its idle connections closed', async () => {
    const node = await startNode(socket => void socket.write(BUFFERED));
    const answer = await node.call('safe');
    assert.equal(answer.body, 'body');
    await removeEngine(node);
    await waitFor(
      'the end of the connection',
      () => node.engines[0]!.closedSocketCount > 0,
    );
  });
});
