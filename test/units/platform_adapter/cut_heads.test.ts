import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {Socket} from 'node:net';
import {AdapterNode} from '../../support/adapter_node.js';
import {withProbes} from '../../support/with_probes.js';

const SIGNED = 'X-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\n';
const HEAD = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Type: text/event-stream\r\nContent-Length: 4\r\n\r\n`;
/** Inside the status line, between and inside headers, and before the empty line that ends the head. */
const CUTS = [
  1,
  8,
  15,
  17,
  HEAD.indexOf('X-Response'),
  HEAD.indexOf('Content-Type') + 5,
  HEAD.indexOf('Content-Length') + 16,
  HEAD.length - 2,
  HEAD.length - 1,
];
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: socket => void socket.end(),
  resets: socket => void socket.resetAndDestroy(),
};

/** Writes the start of a response and ends the connection; bytes before a reset are flushed first. */
function cut(
  socket: Socket,
  text: string,
  end: (socket: Socket) => void,
): void {
  socket.write(text, () => setTimeout(() => end(socket), 5));
}

describe('an engine that ends in the middle of a response head', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  for (const [name, end] of Object.entries(ENDINGS)) {
    it(`never gives a success on a connection in use before, ${name}`, async () => {
      for (const at of CUTS) {
        let answered = 0;
        adapter = await AdapterNode.start([
          withProbes(socket => {
            answered += 1;
            if (answered === 1) {
              socket.write(
                `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 4\r\n\r\nbody`,
              );
            } else cut(socket, HEAD.slice(0, at), end);
          }),
        ]);
        const first = await adapter.call('safe');
        assert.equal(first.status, 200);
        const second = await adapter.call('safe');
        assert.ok(second.status >= 500, `cut at ${at}: ${second.status}`);
        assert.equal(second.headers['x-response-signature'], undefined);
        await adapter.close();
      }
      adapter = undefined;
    });

    it(`never completes a stream that goes on at it, ${name}`, async () => {
      for (const at of CUTS) {
        let asked = 0;
        const respond = withProbes(socket => {
          asked += 1;
          if (asked === 1) {
            const body = 'id: 1\ndata: a\n\n';
            const head = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
            const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
            cut(socket, head + chunk, ENDINGS['resets']!);
          } else cut(socket, HEAD.slice(0, at), end);
        });
        adapter = await AdapterNode.start([respond, respond]);
        const answer = await adapter.call('streaming');
        assert.ok(!answer.whole, `cut at ${at}`);
        assert.equal(answer.body, 'id: 1\ndata: a\n\n');
        await adapter.close();
      }
      adapter = undefined;
    });

    it(`never completes a response that ends in its trailers, ${name}`, async () => {
      for (const trailer of ['0\r\n', '0\r\nX-Tra', '0\r\nX-Trailer: 1\r\n']) {
        for (const type of ['safe', 'unsafe', 'streaming']) {
          const body = 'id: 1\ndata: a\n\n';
          const isStream = type === 'streaming';
          adapter = await AdapterNode.start([
            withProbes(socket =>
              cut(
                socket,
                `HTTP/1.1 200 OK\r\n${SIGNED}${isStream ? 'Content-Type: text/event-stream\r\n' : ''}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n${trailer}`,
                end,
              ),
            ),
          ]);
          const answer = await adapter.call(type);
          const isSuccess = answer.status === 200 && answer.whole;
          assert.ok(!isSuccess, `${type}, ${JSON.stringify(trailer)}`);
          await adapter.close();
        }
      }
      adapter = undefined;
    });
  }
});
