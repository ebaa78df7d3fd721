import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import fc from 'fast-check';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {callHttp} from '../../support/call_http.js';
import {propertyOptions} from '../../support/property_options.js';

const RESPONSE_WAIT_MS = 40;
const RUN_COUNT = 250;
const SMUGGLED_ID = 'smuggled-1';
const KEY = 'secret-key';

const completeResponse: RawResponder = (socket, request) => {
  const id = /x-attempt-id: ([^\r]*)/i.exec(request)?.[1] ?? '';
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello`,
  );
};

/** Text of a valid request that the node forwards. */
function validRequest(type: string, headers: string, body: string): string {
  return `POST /${type}/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: proper-1\r\nAuthorization: Bearer ${KEY}\r\nX-Deadline-Ms: 500\r\n${headers}\r\n${body}`;
}

/** Request smuggling: a second request inside the first, for parsers that disagree about the length of the body. */
const smuggledRequest = `GET /safe/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ${SMUGGLED_ID}\r\nAuthorization: Bearer ${KEY}\r\n\r\n`;
const ambiguousRequests = [
  validRequest(
    'unsafe',
    `Content-Length: ${smuggledRequest.length + 5}\r\nTransfer-Encoding: chunked\r\n`,
    `0\r\n\r\n${smuggledRequest}`,
  ),
  validRequest(
    'unsafe',
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
    `0\r\n\r\n${smuggledRequest}`,
  ),
  validRequest(
    'unsafe',
    `Content-Length: 4\r\nContent-Length: ${smuggledRequest.length}\r\n`,
    smuggledRequest,
  ),
  validRequest('unsafe', 'Transfer-Encoding : chunked\r\n', smuggledRequest),
  validRequest(
    'unsafe',
    `X-Note: a\rX-Attempt-Id: ${SMUGGLED_ID}\r\nContent-Length: 0\r\n`,
    '',
  ),
];

const validRequests = [
  validRequest('unsafe', 'Content-Length: 4\r\n', 'body'),
  validRequest(
    'safe',
    'Transfer-Encoding: chunked\r\n',
    '4\r\nbody\r\n0\r\n\r\n',
  ),
  'GET /resolve?name=desk.example&zone=zone-a HTTP/1.1\r\nHost: x\r\n\r\n',
  'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n',
];

/** Requests that are truncated, ambiguous, corrupted or oversized, and random bytes. */
const anyBytes = fc.oneof(
  fc.uint8Array({maxLength: 300}).map(one => Buffer.from(one)),
  fc.constantFrom(...ambiguousRequests).map(one => Buffer.from(one)),
  fc
    .tuple(
      fc.constantFrom(...validRequests),
      fc.double({min: 0, max: 1, noNaN: true}),
    )
    .map(([text, part]) => Buffer.from(text.slice(0, part * text.length))),
  fc
    .tuple(
      fc.constantFrom(...validRequests),
      fc.nat(400),
      fc.uint8Array({minLength: 1, maxLength: 3}),
    )
    .map(([text, at, other]) => {
      const changed = Buffer.from(text);
      changed.set(other, Math.min(at, changed.length - other.length));
      return changed;
    }),
  fc
    .tuple(
      fc.constantFrom(...validRequests),
      fc.integer({min: 20_000, max: 90_000}),
    )
    .map(([text, length]) =>
      Buffer.from(
        text.replace('\r\n', `\r\nX-Long: ${'x'.repeat(length)}\r\n`),
      ),
    ),
);

/** Sends bytes to a port, and returns what arrives until the connection closes or the wait time is over. */
function sendBytes(address: string, sent: Buffer): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let text = '';
    const socket = connect(Number(port), host);
    const timer = setTimeout(() => socket.destroy(), RESPONSE_WAIT_MS);
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => {}); // a reset is a valid reaction here
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(text);
    });
    socket.write(sent);
  });
}

describe('ports of a node on the platform', () => {
  let adapter: AdapterNode;
  before(async () => {
    adapter = await AdapterNode.start([completeResponse]);
  });
  after(() => adapter.close());

  it('survive any bytes, forward no smuggled request, and serve other callers meanwhile', async () => {
    const ports = () => [
      adapter.front,
      adapter.ready,
      adapter.directory,
      adapter.metrics,
    ];
    await fc.assert(
      fc.asyncProperty(anyBytes, fc.nat(3), async (sent, at) => {
        const [text, other] = await Promise.all([
          sendBytes(ports()[at]!, sent),
          adapter.call('safe', {headers: {'x-attempt-id': 'other-1'}}),
        ]);
        assert.equal(other.status, 200);
        assert.equal(other.headers['x-attempt-id'], 'other-1');
        if (text !== '') assert.match(text, /^HTTP\/1\.1 [2-5]\d\d /);
      }),
      propertyOptions(RUN_COUNT, 20261204),
    );
    for (const request of adapter.engines[0]!.requests) {
      const [head] = request.split('\r\n\r\n');
      assert.doesNotMatch(head!, new RegExp(`attempt-id: ${SMUGGLED_ID}`, 'i'));
      assert.doesNotMatch(head!, /authorization/i);
    }
    const {status} = await callHttp(`http://${adapter.ready}/readyz`);
    assert.equal(status, 200);
    const uncaught = adapter.logs.filter(line => line.includes('uncaught'));
    assert.deepEqual(uncaught, []);
  });
});
