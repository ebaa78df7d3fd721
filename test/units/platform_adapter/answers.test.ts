import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {callHttp} from '../../support/call_http.js';
import {waitFor} from '../../support/wait_for.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n';
const SIGNED = `${HEAD}X-Response-Signature: signature\r\n`;
const STREAM = `${SIGNED}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

const completeResponse: RawResponder = socket =>
  void socket.write(`${SIGNED}Content-Length: 5\r\n\r\nhello`);

function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function streamOf(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id++)
    text += chunk(`id: ${id}\ndata: d${id}\n\n`);
  return text;
}

describe('responses through the platform adapter', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  it('forwards a request with the headers that the system sets, and returns the response unchanged', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const answer = await adapter.call('unsafe', {
      headers: {'x-tenant': 'forged', 'x-priority-class': '0', 'x-own': 'kept'},
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'hello');
    assert.equal(answer.headers['x-response-signature'], 'signature');
    const [request] = adapter.engines[0]!.requests;
    assert.match(request!, /^POST \/unsafe\/x\?y=1 HTTP\/1.1/);
    assert.match(request!, /x-tenant: stable\r\n/i);
    assert.match(request!, /x-expect-instance: i-0\r\n/i);
    assert.match(request!, /x-own: kept\r\n/i);
    assert.match(request!, /x-deadline-ms: 1[0-4]\d\d\r\n/i);
    assert.doesNotMatch(request!, /authorization|forged/i);
    assert.match(request!, /\r\n\r\nbody$/);
  });

  it('resumes a stream that breaks inside an event at another engine, after the last complete event', async () => {
    const broken: RawResponder = socket => {
      socket.write(STREAM + streamOf(1, 2) + chunk('id: 3\ndata: tor'));
      setTimeout(() => socket.destroy(), 20);
    };
    const resumes: RawResponder = (socket, request) => {
      const from = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0) + 1;
      socket.write(STREAM + streamOf(from, 4) + '0\r\n\r\n');
    };
    const responders: RawResponder[] = [];
    let calls = 0;
    const either: RawResponder = (socket, request) =>
      (calls++ === 0 ? broken : resumes)(socket, request);
    responders.push(either, either);
    adapter = await AdapterNode.start(responders);
    const answer = await adapter.call('streaming');
    assert.equal(answer.whole, true);
    const ids = [...answer.body.matchAll(/id: (\d+)/g)].map(([, id]) => id);
    assert.deepEqual(ids, ['1', '2', '3', '4']);
  });

  it('does not forward a successful response without the signature of the target', async () => {
    const unsigned: RawResponder = socket =>
      void socket.write(`${HEAD}Content-Length: 5\r\n\r\nhello`);
    adapter = await AdapterNode.start([unsigned, completeResponse]);
    const answers = await Promise.all(
      Array.from({length: 6}, () => adapter!.call('safe')),
    );
    for (const answer of answers) {
      if (answer.status !== 200) assert.equal(answer.status, 502);
      else assert.equal(answer.headers['x-response-signature'], 'signature');
    }
    assert.ok(adapter.engines[0]!.requests.length > 0);
    const once = await adapter.call('unsafe');
    assert.ok(once.status === 502 || once.headers['x-response-signature']);
  });

  it('exposes queue times, event gaps, store calls and the age of cached state as metrics', async () => {
    const stream: RawResponder = socket => {
      socket.write(STREAM + streamOf(1, 1));
      setTimeout(() => socket.write(streamOf(2, 2) + '0\r\n\r\n'), 60);
    };
    adapter = await AdapterNode.start([stream]);
    assert.equal((await adapter.call('streaming')).whole, true);
    const {body} = await callHttp(`http://${adapter.metrics}/metrics`);
    for (const line of [
      /rhubarbstile_queue_ms_count\{service="desk"\} 1\n/,
      /rhubarbstile_first_token_ms_count\{service="desk"\} 1\n/,
      /rhubarbstile_event_gap_ms_bucket\{le="50",service="desk"\} 0\n/,
      /rhubarbstile_event_gap_ms_count\{service="desk"\} 1\n/,
      /rhubarbstile_requests_total\{service="desk",verdict="ran"\} 1\n/,
      /rhubarbstile_store_calls_total\{kind="list",outcome="ok"\} [1-9]/,
      /rhubarbstile_belief_age_ms\{belief="configuration-proof"\} \d/,
      /rhubarbstile_belief_version\{belief="configuration"\} 1\n/,
      /rhubarbstile_repeats\{service="desk",of="used"\} 0\n/,
    ]) {
      assert.match(body, line);
    }
  });

  it('refuses headers above the configured limit', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const answer = await adapter.call('safe', {
      headers: {'x-long': 'x'.repeat(17_000)},
    });
    assert.equal(answer.status, 431);
    assert.equal(adapter.engines[0]!.requests.length, 0);
  });

  it('never forwards a truncated response as a complete one', async () => {
    const truncatedResponses: RawResponder[] = [
      socket => {
        socket.write(`${SIGNED}Content-Length: 50\r\n\r\nhalf`);
        setTimeout(() => socket.destroy(), 20);
      },
      socket => {
        socket.write(`${SIGNED}Connection: close\r\n\r\nhalf`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    ];
    for (const truncated of truncatedResponses) {
      adapter = await AdapterNode.start([truncated]);
      const answer = await adapter.call('unsafe');
      assert.equal(answer.status, 502);
      assert.equal(answer.headers['x-response-signature'], undefined);
      await adapter.close();
    }
    adapter = undefined;
  });

  it('gives a response that ends with its connection a length, so that a part of it is no whole response', async () => {
    adapter = await AdapterNode.start([
      socket => {
        socket.end(`${SIGNED}Connection: close\r\n\r\nall of it`);
      },
    ]);
    const answer = await adapter.call('unsafe');
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'all of it');
    assert.equal(answer.whole, true);
    assert.equal(answer.headers['content-length'], '9');
    assert.equal(answer.headers['transfer-encoding'], undefined);
  });

  it('never forwards the response to another request', async () => {
    const otherAttempt: RawResponder = socket =>
      void socket.write(
        'HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong',
      );
    adapter = await AdapterNode.start([otherAttempt, otherAttempt]);
    const answer = await adapter.call('safe');
    assert.equal(answer.status, 502);
    assert.doesNotMatch(answer.body, /wrong/);
  });

  it('does not treat extra bytes after a response as the next response', async () => {
    adapter = await AdapterNode.start([
      socket => {
        socket.write(
          `${SIGNED}Content-Length: 5\r\n\r\nhello${SIGNED}Content-Length: 5\r\n\r\nextra`,
        );
      },
    ]);
    for (let at = 0; at < 3; at++) {
      const answer = await adapter.call('safe', {
        headers: {'x-attempt-id': 'attempt-1'},
      });
      assert.notEqual(answer.body, 'extra');
    }
  });

  it('retries a request that one engine refuses at another', async () => {
    const full: RawResponder = socket =>
      void socket.write(
        'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: attempt-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      );
    let calls = 0;
    const either: RawResponder = (socket, request) =>
      (calls++ === 0 ? full : completeResponse)(socket, request);
    adapter = await AdapterNode.start([either, either]);
    const answer = await adapter.call('unsafe');
    assert.equal(answer.status, 200);
    assert.equal(calls, 2);
  });

  it("forwards an engine's own error when no other engine answers", async () => {
    const failing: RawResponder = socket =>
      void socket.write(
        'HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\nContent-Length: 4\r\n\r\nfail',
      );
    adapter = await AdapterNode.start([failing, failing]);
    const answer = await adapter.call('safe');
    assert.equal(answer.status, 500);
    assert.equal(answer.headers['x-response-signature'], 's');
  });

  it('closes the connection to the engine when the caller disconnects', async () => {
    adapter = await AdapterNode.start([
      socket => void socket.write(STREAM + streamOf(1, 1)),
    ]);
    const caller = new AbortController();
    const call = adapter.call('streaming', {
      signal: caller.signal,
      onData: () => caller.abort(),
    });
    await call.catch(() => {}); // rejects because the caller aborts
    const [engine] = adapter.engines;
    await waitFor('closed socket', () => engine!.closedSocketCount > 0);
  });

  it('refuses unroutable, unauthenticated and oversized requests without an engine', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    assert.equal((await adapter.call('nowhere')).status, 404);
    assert.equal((await adapter.call('safe', {key: 'stolen'})).status, 401);
    const large = await adapter.call('unsafe', {body: 'x'.repeat(2000)});
    assert.equal(large.status, 413);
    assert.equal(adapter.engines[0]!.requests.length, 0);
  });

  it('applies the removal of an API key and of an engine', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store, node} = adapter;
    adapter.writeConfig(2, {
      tenants: [{name: 'stable', 'api-keys': ['other']}],
    });
    await waitFor('version 2', () => node.state.config?.version === 2);
    assert.equal((await adapter.call('safe')).status, 401);
    store.remove('servers/i-0');
    await waitFor('no target', () => node.state.targets.size === 0);
    const answer = await adapter.call('safe', {key: 'other'});
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });

  it('resolves to its address and reports readiness until it leaves', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const ready = await callHttp(`http://${adapter.ready}/readyz`);
    assert.equal(ready.status, 200);
    const resolved = await callHttp(
      `http://${adapter.directory}/resolve?name=desk.example&region=r&zone=z`,
    );
    assert.deepEqual(JSON.parse(resolved.body), {
      addresses: [adapter.front],
      'ttl-s': 2,
    });
    adapter.node.leave();
    const leaving = await callHttp(`http://${adapter.ready}/readyz`);
    assert.equal(leaving.status, 503);
  });

  it('lists the store again when its history is lost, and keeps serving through an outage of it', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store, node} = adapter;
    store.failureStatus = 503;
    adapter.writeConfig(3);
    store.clearHistory();
    store.remove('servers/i-foreign');
    assert.equal((await adapter.call('safe')).status, 200);
    store.failureStatus = undefined;
    await waitFor('version 3', () => node.state.config?.version === 3);
  });

  it('loses the steward lease when responses of the store are lost, and acquires it again afterwards', async () => {
    adapter = await AdapterNode.start([completeResponse]);
    const {store, node} = adapter;
    await waitFor('lease', () => node.state.steward.term !== undefined);
    store.isDroppingResponses = true;
    await waitFor('no lease', () => node.state.steward.term === undefined);
    store.isDroppingResponses = false;
    await waitFor('lease again', () => node.state.steward.term !== undefined);
  });
});
