import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {Socket} from 'node:net';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {HeldMemory} from '../../support/held_memory.js';
import {RawEngine} from '../../support/raw_engine.js';
import {fetchDocument} from '../../../src/serving/fetch_document.js';
import {writeEndlessly} from '../../support/write_endlessly.js';
import {waitFor} from '../../support/wait_for.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n';
const SIGNED = `${HEAD}X-Response-Signature: signature\r\n`;
const EVENTS = `${SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const READ_BYTES = 64 * 1024;
const MIB = 1024 * 1024;
/** Upper bound for the bytes that a node reads of an unusable response, including the socket buffers of both sides. */
const MAX_READ_BYTES = 16 * MIB;
const MAX_RSS_GROWTH_BYTES = 20 * MIB;

/** Repeats a text up to the usual size of a read. */
function fill(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(READ_BYTES / text.length)));
}

function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function endless(head: string, bytes: Buffer): RawResponder {
  return socket => {
    socket.write(head);
    writeEndlessly(socket, bytes);
  };
}

const FILLER = 'x'.repeat(1000);
/** Endless data that an engine may write instead of a response or after the response has begun. */
const ENDLESS_STREAMS: Readonly<Record<string, RawResponder>> = {
  'header fields': endless(HEAD, fill(`X-More: ${FILLER}\r\n`)),
  'interim responses': endless('', fill('HTTP/1.1 102 Processing\r\n\r\n')),
  'empty lines before the status line': endless('', fill('\r\n')),
  'a chunk extension': endless(`${EVENTS}5;more=`, fill(FILLER)),
  'an event': endless(EVENTS, fill(chunk(FILLER))),
  'stream comments': endless(EVENTS, fill(chunk(`: ${FILLER}\n\n`))),
  trailers: endless(`${EVENTS}0\r\n`, fill(`X-More: ${FILLER}\r\n`)),
  'bytes that are not HTTP': endless('', fill('\0\x01\x02')),
};
const ENDLESS_REFUSALS: Readonly<Record<string, RawResponder>> = {
  'the body of a refusal': endless(
    'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    fill(chunk(FILLER)),
  ),
  'the body of a refusal without length': endless(
    'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nConnection: close\r\n\r\n',
    fill(FILLER),
  ),
};

const completeStream: RawResponder = socket =>
  void socket.write(
    EVENTS +
      chunk('id: 1\ndata: d1\n\n') +
      chunk('id: 2\ndata: d2\n\n') +
      '0\r\n\r\n',
  );
const completeResponse: RawResponder = socket =>
  void socket.write(`${SIGNED}Content-Length: 5\r\n\r\nhello`);

/** Tracks the connections of an endless response, to check how many bytes the node read from each. */
class EndlessResponse {
  readonly sockets: Socket[] = [];

  constructor(private readonly answer: RawResponder) {}

  readonly handle: RawResponder = (socket, request) => {
    this.sockets.push(socket);
    this.answer(socket, request);
  };

  get areClosed(): boolean {
    return this.sockets.every(({destroyed}) => destroyed);
  }

  assertBounded(): void {
    for (const {bytesWritten} of this.sockets) {
      assert.ok(
        bytesWritten < MAX_READ_BYTES,
        `${bytesWritten} bytes were read`,
      );
    }
  }
}

describe('bytes without end', () => {
  let adapter: AdapterNode;
  afterEach(() => adapter.close());

  for (const [name, answer] of Object.entries(ENDLESS_STREAMS)) {
    it(`as ${name}: the connection is closed, and another engine answers`, async () => {
      const endlessResponse = new EndlessResponse(answer);
      adapter = await AdapterNode.start([
        endlessResponse.handle,
        completeStream,
      ]);
      await adapter.call('streaming'); // loads modules and buffers, so that they don't count as memory growth below
      const beforeBytes = process.memoryUsage().rss;
      for (let count = 0; count < 6; count++) {
        const startedAtMs = Date.now();
        const {whole, body} = await adapter.call('streaming');
        assert.equal(whole, true);
        assert.match(body, /d1[^]*d2/);
        assert.ok(Date.now() - startedAtMs < 1000);
      }
      assert.ok(endlessResponse.sockets.length > 0);
      await waitFor('closed connections', () => endlessResponse.areClosed);
      endlessResponse.assertBounded();
      assert.ok(process.memoryUsage().rss - beforeBytes < MAX_RSS_GROWTH_BYTES);
    });
  }

  for (const [name, answer] of Object.entries(ENDLESS_REFUSALS)) {
    it(`as ${name}: the connection is closed, and another engine answers`, async () => {
      const endlessResponse = new EndlessResponse(answer);
      adapter = await AdapterNode.start([
        endlessResponse.handle,
        completeResponse,
      ]);
      for (let count = 0; count < 6; count++) {
        assert.equal((await adapter.call('unsafe')).status, 200);
      }
      assert.ok(endlessResponse.sockets.length > 0);
      await waitFor('closed connections', () => endlessResponse.areClosed);
      endlessResponse.assertBounded();
    });
  }

  it('as the bodies of buffered responses: closed within the total memory bound, while other requests are answered', async () => {
    const endlessResponse = new EndlessResponse(
      endless(
        `${SIGNED}Transfer-Encoding: chunked\r\n\r\n`,
        fill(chunk(FILLER)),
      ),
    );
    adapter = await AdapterNode.start([
      endlessResponse.handle,
      completeResponse,
    ]);
    await adapter.call('safe');
    const memory = new HeldMemory();
    const answers = await Promise.all(
      Array.from({length: 40}, () => adapter.call('safe')),
    );
    await waitFor('closed connections', () => endlessResponse.areClosed);
    const growthBytes = memory.stop();
    assert.ok(growthBytes < MAX_RSS_GROWTH_BYTES, `${growthBytes} bytes more`);
    endlessResponse.assertBounded();
    for (const {status} of answers) assert.ok(status === 200 || status === 502);
    assert.ok(answers.some(({status}) => status === 200));
  });

  it('not taken for such: a whole body in parts of one byte', async () => {
    const body = Array.from({length: 20_000}, (_, at) => at % 10).join('');
    adapter = await AdapterNode.start([
      socket => {
        const parts = [...body].map(chunk).join('');
        socket.write(
          `${SIGNED}Transfer-Encoding: chunked\r\n\r\n${parts}0\r\n\r\n`,
        );
      },
    ]);
    const answer = await adapter.call('safe');
    assert.equal(answer.status, 200);
    assert.equal(answer.body, body);
  });

  it('beyond the length of a response: the response is valid, and the connection is not reused', async () => {
    const endlessResponse = new EndlessResponse(
      endless(`${SIGNED}Content-Length: 5\r\n\r\nhello`, fill(FILLER)),
    );
    adapter = await AdapterNode.start([endlessResponse.handle]);
    for (let count = 0; count < 4; count++) {
      const {status, body} = await adapter.call('safe');
      if (status === 200) assert.equal(body, 'hello');
      else assert.equal(status, 502);
    }
    await waitFor('closed connections', () => endlessResponse.areClosed);
    endlessResponse.assertBounded();
  });

  it('on a connection that is kept alive after a response: the connection is closed', async () => {
    const endlessResponse = new EndlessResponse(socket => {
      socket.write(`${SIGNED}Content-Length: 5\r\n\r\nhello`);
      setTimeout(() => writeEndlessly(socket, fill(FILLER)), 50);
    });
    adapter = await AdapterNode.start([endlessResponse.handle]);
    assert.equal((await adapter.call('safe')).status, 200);
    await waitFor('closed connections', () => endlessResponse.areClosed);
    endlessResponse.assertBounded();
  });

  it('after the caller has disconnected: the connection is closed', async () => {
    const endlessResponse = new EndlessResponse(
      endless(EVENTS, fill(chunk('id: 1\ndata: d\n\n'))),
    );
    adapter = await AdapterNode.start([endlessResponse.handle]);
    const caller = new AbortController();
    await adapter
      .call('streaming', {
        signal: caller.signal,
        onData: () => caller.abort(),
      })
      .catch(() => {}); // rejects because the caller aborts
    await waitFor('closed connections', () => endlessResponse.areClosed);
  });

  it('from the store: each call ends, and the node keeps serving from cached state', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const sockets: Socket[] = [];
    adapter.store.respondRaw = socket => {
      sockets.push(socket);
      writeEndlessly(socket, fill(chunk(FILLER)));
    };
    await waitFor('calls', () => sockets.length > 3);
    assert.equal((await adapter.call('safe')).status, 200);
    await waitFor('closed connections', () =>
      sockets.slice(0, 3).every(({destroyed}) => destroyed),
    );
    for (const {bytesWritten} of sockets) {
      assert.ok(
        bytesWritten < 2 * MAX_READ_BYTES,
        `${bytesWritten} bytes were read`,
      );
    }
    adapter.store.respondRaw = undefined;
    adapter.writeConfig(5);
    await waitFor('version 5', () => adapter.node.state.config?.version === 5);
  });
});

describe('endless documents', () => {
  it('are aborted at the size limit', async () => {
    const endlessResponse = new EndlessResponse(
      endless(
        'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        fill(chunk(FILLER)),
      ),
    );
    const engine = new RawEngine(endlessResponse.handle);
    const address = await engine.listen();
    const document = await fetchDocument(
      {nowMs: () => 0},
      address,
      '/engines',
      2000,
    );
    assert.ok(document instanceof Error);
    endlessResponse.assertBounded();
    engine.close();
  });
});
