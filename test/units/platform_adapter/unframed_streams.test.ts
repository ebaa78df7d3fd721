import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {FaultProxy} from '../../support/fault_proxy.js';
import {sendRaw} from '../../support/send_raw.js';

/** Head of a stream that has neither a length nor chunks, and ends with its connection. */
const UNFRAMED =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\n' +
  'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const EVENT_PART = 'id: 2\ndata: b';
/** Larger than the longest event that a node buffers. */
const ENDLESS_EVENT = `data: ${'x'.repeat(200_000)}`;

describe('a stream without a length', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  /** Calls a service whose engines all respond alike. */
  async function callWith(
    responder: RawResponder,
    onData?: () => void,
  ): ReturnType<AdapterNode['call']> {
    adapter = await AdapterNode.start([responder, responder]);
    return adapter.call('streaming', {...(onData && {onData})});
  }

  it('ends complete when its connection closes between events', async () => {
    const answer = await callWith(socket =>
      socket.end(`${UNFRAMED}${FIRST_EVENT}${EVENT_PART}\n\n`),
    );
    assert.equal(answer.whole, true);
    assert.equal(answer.body, `${FIRST_EVENT}${EVENT_PART}\n\n`);
    assert.equal(answer.headers['transfer-encoding'], 'chunked');
  });

  it('does not look complete when its engines close inside an event', async () => {
    const answer = await callWith(socket =>
      socket.end(`${UNFRAMED}${FIRST_EVENT}${EVENT_PART}`),
    );
    assert.equal(answer.whole, false);
    assert.equal(answer.body.includes(EVENT_PART), false);
  });

  it('does not look complete when its engines reset the connection', async () => {
    const answer = await callWith(socket => {
      socket.write(UNFRAMED + FIRST_EVENT);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    assert.equal(answer.whole, false);
  });

  it('does not look complete when its engines fall silent until the time-out', async () => {
    const answer = await callWith(
      socket => void socket.write(UNFRAMED + FIRST_EVENT),
    );
    assert.equal(answer.status, 200);
    assert.equal(answer.whole, false);
  });

  it('does not look complete when an event exceeds the size limit', async () => {
    const answer = await callWith(socket => {
      socket.write(UNFRAMED + FIRST_EVENT);
      setTimeout(() => socket.write(ENDLESS_EVENT), 20);
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.whole, false);
  });

  // Rule MIXED: the caller of a killed node took a part of the stream for the whole.
  it('does not look complete when the node is killed', async () => {
    adapter = await AdapterNode.start([
      socket => void socket.write(UNFRAMED + FIRST_EVENT),
    ]);
    const proxy = await FaultProxy.start(Number(adapter.front.split(':')[1]));
    try {
      const answer = await adapter.call('streaming', {
        address: proxy.address,
        onData: () => proxy.endConnections(),
      });
      assert.equal(answer.status, 200);
      assert.equal(answer.body, FIRST_EVENT);
      assert.equal(answer.whole, false);
    } finally {
      await proxy.close();
    }
  });

  it('does not look complete to a caller without chunked encoding when its engines close inside an event', async () => {
    adapter = await AdapterNode.start([
      socket => socket.end(`${UNFRAMED}${FIRST_EVENT}${EVENT_PART}`),
    ]);
    await assert.rejects(
      sendRaw(
        adapter.front,
        'POST /streaming/x HTTP/1.0\r\nHost: desk.example\r\n' +
          'X-Attempt-Id: attempt-1\r\nX-Deadline-Ms: 1500\r\n' +
          'Authorization: Bearer secret-key\r\nContent-Length: 0\r\n\r\n',
      ),
      {code: 'ECONNRESET'},
    );
  });

  it('does not look complete when the node ends', async () => {
    const answer = await callWith(
      socket => void socket.write(UNFRAMED + FIRST_EVENT),
      () => void adapter!.node.destroy(),
    );
    assert.equal(answer.whole, false);
  });
});
