import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {waitFor} from '../../support/wait_for.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n';
const SIGNED = `${HEAD}X-Response-Signature: signature\r\n`;
const CALL_PAUSE_MS = 40;
/** Bound of the engine contract: a request that arrives sooner after the response may already have been in transit. */
const IN_TRANSIT_MS = 500;
const MAX_BACKOFF_ARRIVALS = 2;

const completeResponse: RawResponder = socket =>
  void socket.write(`${SIGNED}Content-Length: 5\r\n\r\nhello`);
const leavingResponse: RawResponder = socket =>
  void socket.write(
    `${SIGNED}Server-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello`,
  );

function refuseWithRetryAfter(retryAfter: string): RawResponder {
  return socket =>
    void socket.write(
      `HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: ${retryAfter}\r\nContent-Length: 0\r\n\r\n`,
    );
}

/** Records the arrival time of each request before responding to it. */
class ArrivalRecorder {
  readonly atMs: number[] = [];

  constructor(private readonly answer: RawResponder) {}

  readonly handle: RawResponder = (socket, request) => {
    this.atMs.push(Date.now());
    this.answer(socket, request);
  };

  /** Count of the requests that arrived more than this time after the first one. */
  after(ms: number): number {
    const [first] = this.atMs;
    return first === undefined
      ? 0
      : this.atMs.filter(atMs => atMs - first > ms).length;
  }
}

describe('announcements in engine responses', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  async function callFor(ms: number, type = 'safe') {
    const untilMs = Date.now() + ms;
    const calls: ReturnType<AdapterNode['call']>[] = [];
    while (Date.now() < untilMs) {
      calls.push(adapter!.call(type));
      await new Promise(resolve => setTimeout(resolve, CALL_PAUSE_MS));
    }
    return Promise.all(calls);
  }

  it('sends no requests to engines during their Retry-After period, and refuses callers at once with the time until the first ends', async () => {
    const engines = [
      new ArrivalRecorder(refuseWithRetryAfter('3')),
      new ArrivalRecorder(refuseWithRetryAfter('4')),
    ];
    adapter = await AdapterNode.start(engines.map(({handle}) => handle));
    const answers = await callFor(2500);
    for (const engine of engines) {
      assert.ok(engine.after(IN_TRANSIT_MS) <= MAX_BACKOFF_ARRIVALS);
    }
    const later = answers.slice(10);
    for (const {status, headers} of later) {
      assert.equal(status, 503);
      const retryAfterS = Number(headers['retry-after']);
      assert.ok(retryAfterS > 0.4 && retryAfterS < 6, `${retryAfterS} s`);
    }
  });

  it('uses an engine again after its Retry-After period', async () => {
    let isFull = true;
    const engine = new ArrivalRecorder((socket, request) =>
      (isFull ? refuseWithRetryAfter('0.8') : completeResponse)(
        socket,
        request,
      ),
    );
    adapter = await AdapterNode.start([engine.handle]);
    const refused = await adapter.call('safe');
    assert.equal(refused.status, 503);
    isFull = false;
    await waitFor(
      'an answer',
      async () => (await adapter!.call('safe')).status === 200,
    );
    assert.ok(engine.atMs.at(-1)! - engine.atMs[0]! >= 800);
  });

  it('retries a request that one engine refused at another at once', async () => {
    adapter = await AdapterNode.start([
      refuseWithRetryAfter('30'),
      completeResponse,
    ]);
    const answers = await callFor(400);
    for (const {status} of answers) assert.equal(status, 200);
    assert.ok(adapter.engines[0]!.requests.length <= 3);
  });

  for (const value of ['', '-3', 'soon', '0', 'NaN']) {
    it(`ignores Retry-After "${value}"`, async () => {
      adapter = await AdapterNode.start([
        refuseWithRetryAfter(value),
        completeResponse,
      ]);
      assert.equal((await adapter.call('safe')).status, 200);
      assert.equal(adapter.node.state.announcements.backoffUntilMs.size, 0);
    });
  }

  it('sends nothing more to an engine that announces in one of many responses that it is leaving', async () => {
    let count = 0;
    const engine = new ArrivalRecorder((socket, request) => {
      count += 1;
      (count === 10 ? leavingResponse : completeResponse)(socket, request);
    });
    adapter = await AdapterNode.start([engine.handle, completeResponse]);
    const answers = await callFor(2500);
    for (const {status} of answers) assert.equal(status, 200);
    // Calls that ran concurrently with the tenth may have been sent before its response arrived.
    assert.ok(count < 13, `${count} requests`);
    assert.equal(answers[0]!.headers['server-leaving'], undefined);
  });

  for (const [name, answer] of [
    [
      'the head of a stream',
      `${SIGNED}Server-Leaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: d1\n\n\r\n0\r\n\r\n`,
    ],
    [
      'a refusal',
      'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n',
    ],
    [
      'an error response',
      'HTTP/1.1 500 Failed\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n',
    ],
  ] as const) {
    it(`sends nothing more to an engine that announces this in ${name}`, async () => {
      const engine = new ArrivalRecorder(socket => void socket.write(answer));
      adapter = await AdapterNode.start([engine.handle]);
      await adapter.call('streaming');
      await callFor(300, 'streaming');
      assert.equal(engine.atMs.length, 1);
    });
  }

  it('uses an engine that had left again after its restart', async () => {
    let isLeaving = true;
    const engine = new ArrivalRecorder((socket, request) =>
      (isLeaving ? leavingResponse : completeResponse)(socket, request),
    );
    adapter = await AdapterNode.start([engine.handle]);
    assert.equal((await adapter.call('safe')).status, 200);
    assert.equal((await adapter.call('safe')).status, 503);
    isLeaving = false;
    adapter.store.put('servers/i-0', {
      service: 'desk',
      address: adapter.engineAddresses[0],
      zone: 'zone-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      born: 2000,
      sequence: 1,
    });
    await waitFor(
      'an answer',
      async () => (await adapter!.call('safe')).status === 200,
    );
  });
});
