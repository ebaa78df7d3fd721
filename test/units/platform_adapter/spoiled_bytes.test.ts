import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {sendRaw} from '../../support/send_raw.js';
import {waitFor} from '../../support/wait_for.js';

const SIGNED = 'X-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\n';
const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const CONTROL_CHARACTER = '\x17';
/** A route's time-out in the test's configuration, and half a second. */
const ANSWER_MS = 2500;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = (id: number | string) => chunk(`id: ${id}\ndata: x\n\n`);

const answerOk: RawResponder = socket =>
  void socket.write(
    `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 4\r\n\r\nbody`,
  );

describe('bytes that can not be sent on', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  /** Asserts that a node still does its timed work: it applies a new configuration and serves. */
  async function assertAlive(node: AdapterNode): Promise<void> {
    node.writeConfig(7);
    const {state} = node.node;
    await waitFor('the configuration', () => state.config?.version === 7);
    for (const engine of node.engines) engine.answer = answerOk;
    await waitFor('an answer', async () => {
      const {status} = await node.call('safe');
      return status === 200;
    });
  }

  // Rule CONFIG: the spoiled id, sent on as a header, ended the node's timer.
  for (const isSilent of [true, false]) {
    it(`in the id of an event, before the engine ${isSilent ? 'falls silent' : 'breaks off'}: the stream goes on after the last sound event`, async () => {
      const sentOn: string[] = [];
      const respond: RawResponder = (socket, request) => {
        const from = /last-event-id: (.*)\r\n/i.exec(request)?.[1];
        sentOn.push(from ?? '');
        if (from !== undefined) {
          socket.write(`${STREAM_HEAD}${event(2)}${event(3)}0\r\n\r\n`);
          return;
        }
        socket.write(STREAM_HEAD + event(1));
        setTimeout(() => {
          socket.write(event(CONTROL_CHARACTER));
          if (!isSilent) socket.destroy();
        }, 20);
      };
      adapter = await AdapterNode.start([respond, respond]);
      const answer = await adapter.call('streaming');
      assert.equal(answer.whole, true);
      assert.equal(
        answer.body,
        [1, 2, 3].map(id => `id: ${id}\ndata: x\n\n`).join(''),
      );
      assert.ok(sentOn.includes('1'));
      await assertAlive(adapter);
    });
  }

  // KNOWN-RED.txt, review/old: such a request was never answered.
  for (const status of ['000', '099']) {
    for (const type of ['safe', 'unsafe', 'streaming']) {
      it(`in the status ${status} of an engine, ${type}: the request is answered`, async () => {
        const respond: RawResponder = socket =>
          void socket.write(
            `HTTP/1.1 ${status} OK\r\n${SIGNED}Content-Length: 4\r\n\r\nbody`,
          );
        adapter = await AdapterNode.start([respond, respond]);
        const startedAtMs = Date.now();
        const answer = await adapter.call(type);
        assert.equal(answer.status, 502);
        assert.ok(Date.now() - startedAtMs < ANSWER_MS);
        await assertAlive(adapter);
      });
    }
  }

  it('in the path of a request: it is refused, and no engine is suspected', async () => {
    adapter = await AdapterNode.start([answerOk]);
    const answer = await sendRaw(
      adapter.front,
      'GET /safe/a\tb HTTP/1.1\r\nHost: desk.example\r\n' +
        'X-Attempt-Id: attempt-1\r\nAuthorization: Bearer secret-key\r\n' +
        'Connection: close\r\n\r\n',
    );
    assert.match(answer, /^HTTP\/1.1 400 /);
    assert.equal(adapter.engines[0]!.requests.length, 0);
    await assertAlive(adapter);
  });

  it("in an organisation's name: its requests are refused as not run, and the others served", async () => {
    adapter = await AdapterNode.start([answerOk]);
    adapter.writeConfig(2, {
      tenants: [
        {name: `stable${CONTROL_CHARACTER}`, 'api-keys': ['spoiled-key']},
        {name: 'stable', 'api-keys': ['secret-key']},
      ],
    });
    const {state} = adapter.node;
    await waitFor('the configuration', () => state.config?.version === 2);
    const answer = await adapter.call('safe', {key: 'spoiled-key'});
    assert.equal(answer.status, 503);
    assert.equal(adapter.engines[0]!.requests.length, 0);
    const other = await adapter.call('safe');
    assert.equal(other.status, 200);
    await assertAlive(adapter);
  });
});
