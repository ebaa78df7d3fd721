import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';

const SIGNED =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\nConnection: close\r\n';
const STREAM_HEAD = `${SIGNED}Content-Type: text/event-stream\r\n\r\n`;
const FIRST_EVENT = 'id: 1\ndata: 1\n\n';
const LAST_EVENT = 'id: 2\ndata: 2\n\n';
const ROUNDS = 10;

// Rule ORDER: libuv reports a reset that arrives with the last bytes as an orderly end.
describe('an answer without a length whose connection is reset together with its last bytes', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  it('is no whole stream, after its first event', async () => {
    for (let round = 0; round < ROUNDS; round++) {
      adapter = await AdapterNode.start([
        socket => {
          socket.write(STREAM_HEAD + FIRST_EVENT);
          socket.resetAndDestroy();
        },
      ]);
      const answer = await adapter.call('streaming');
      assert.equal(answer.whole, false);
      await adapter.close();
      adapter = undefined;
    }
  });

  it('is no whole stream, midway', async () => {
    for (let round = 0; round < ROUNDS; round++) {
      adapter = await AdapterNode.start([
        socket => {
          socket.write(STREAM_HEAD + FIRST_EVENT);
          setTimeout(() => {
            socket.write(LAST_EVENT);
            socket.resetAndDestroy();
          }, 30);
        },
      ]);
      const answer = await adapter.call('streaming');
      assert.equal(answer.whole, false);
      await adapter.close();
      adapter = undefined;
    }
  });

  it('goes on at another engine', async () => {
    const respond: RawResponder = (socket, request) => {
      if (/last-event-id: 1/i.test(request)) {
        socket.end(STREAM_HEAD + LAST_EVENT);
        return;
      }
      socket.write(STREAM_HEAD + FIRST_EVENT);
      socket.resetAndDestroy();
    };
    adapter = await AdapterNode.start([respond, respond]);
    const answer = await adapter.call('streaming');
    assert.equal(answer.whole, true);
    assert.equal(answer.body, FIRST_EVENT + LAST_EVENT);
  });

  for (const type of ['safe', 'unsafe']) {
    it(`is no success, ${type}`, async () => {
      const respond: RawResponder = socket => {
        socket.write(`${SIGNED}\r\nhalf`);
        socket.resetAndDestroy();
      };
      adapter = await AdapterNode.start([respond, respond]);
      const answer = await adapter.call(type);
      assert.equal(answer.status, 502);
      assert.equal(answer.headers['x-response-signature'], undefined);
    });
  }
});

describe('an answer without a length whose connection closes in an orderly way', () => {
  it('is whole, and the log says what showed its end', async () => {
    const adapter = await AdapterNode.start([
      socket => socket.end(STREAM_HEAD + FIRST_EVENT + LAST_EVENT),
    ]);
    try {
      for (let round = 0; round < ROUNDS; round++) {
        const answer = await adapter.call('streaming');
        assert.equal(answer.whole, true);
        assert.equal(answer.body, FIRST_EVENT + LAST_EVENT);
      }
      const ends = adapter.logs.filter(line =>
        /request answered .*"bodyEnd":"close"/.test(line),
      );
      assert.equal(ends.length, ROUNDS);
    } finally {
      await adapter.close();
    }
  });
});
