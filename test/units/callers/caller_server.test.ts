import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {RequestNode} from '../../support/request_node.js';
import {ScriptedTarget} from '../../support/scripted_target.js';
import {TOKEN} from '../../support/seed_state.js';
import {callHttp} from '../../support/call_http.js';
import {sendRaw} from '../../support/send_raw.js';

const MAX_BODY_BYTES = 1000;
const MAX_HEADER_BYTES = 4096;
const CHAT = '/v1/chat/completions';

let node: RequestNode;
let target: ScriptedTarget;

before(async () => {
  node = await RequestNode.start({
    limits: {
      maxBodyBytes: MAX_BODY_BYTES,
      maxHeaderBytes: MAX_HEADER_BYTES,
      requestTimeoutMs: 300,
    },
  });
  target = await ScriptedTarget.start(({response}) => response.end('{}'));
  node.addTarget('chat', 'a', target.address);
  node.addTarget('stock', 'b', target.address);
});

after(() => {
  node.close();
  target.close();
});

interface Refused {
  readonly title: string;
  readonly path: string;
  readonly options?: Parameters<RequestNode['call']>[1];
  readonly status: number;
  readonly name: string;
  /** Matches the part of the message that identifies the problem. */
  readonly expectedMessage: RegExp;
}

const REFUSED: readonly Refused[] = [
  {
    title: 'a wrong token',
    path: CHAT,
    options: {body: '{}', headers: {authorization: 'Bearer wrong'}},
    status: 401,
    name: 'NotAuthenticated',
    expectedMessage: /bearer token/,
  },
  {
    title: 'malformed JSON',
    path: CHAT,
    options: {body: '{"model":'},
    status: 400,
    name: 'BadRequest',
    expectedMessage: /not a JSON object/,
  },
  {
    title: 'messages that are not objects',
    path: CHAT,
    options: {body: '{"model":"chat","messages":[null]}'},
    status: 400,
    name: 'BadRequest',
    expectedMessage: /"messages"/,
  },
  {
    title: 'a body without model',
    path: CHAT,
    options: {body: '{}'},
    status: 400,
    name: 'BadRequest',
    expectedMessage: /"model"/,
  },
  {
    title: 'an unknown model',
    path: CHAT,
    options: {body: '{"model":"nope"}'},
    status: 404,
    name: 'ServiceNotFound',
    expectedMessage: /"nope"/,
  },
  {
    title: 'an unknown path',
    path: '/v2/chat',
    status: 404,
    name: 'PathNotFound',
    expectedMessage: /\/v2\/chat/,
  },
  {
    title: 'a wrong method',
    path: CHAT,
    options: {method: 'DELETE'},
    status: 405,
    name: 'MethodNotAllowed',
    expectedMessage: /DELETE/,
  },
  {
    title: 'a body above the limit',
    path: '/services/stock/list',
    options: {body: 'x'.repeat(MAX_BODY_BYTES + 1)},
    status: 413,
    name: 'BodyTooLarge',
    expectedMessage: /1000 bytes/,
  },
  {
    title: 'a deadline that is not a number',
    path: '/services/stock/list',
    options: {headers: {'rhubarbstile-deadline-ms': 'soon'}},
    status: 400,
    name: 'BadRequest',
    expectedMessage: /deadline/,
  },
  {
    title: 'an unrepeatable request without a key',
    path: '/services/orders/new',
    options: {body: 'one'},
    status: 400,
    name: 'IdempotencyKeyMissing',
    expectedMessage: /needs a key/,
  },
];

for (const {title, path, options, status, name, expectedMessage} of REFUSED) {
  test(`${title} is refused as not run, with a specific error`, async () => {
    const answer = await node.call(path, options);
    const {error} = JSON.parse(answer.body);
    assert.equal(answer.status, status);
    assert.equal(error.name, name);
    assert.match(error.message, expectedMessage);
    assert.ok(error.hint);
    assert.equal(error.verdict, 'not-run');
    assert.equal(answer.headers['rhubarbstile-verdict'], 'not-run');
    assert.ok(answer.headers['rhubarbstile-request-id']);
  });
}

function head(path: string, ...headers: string[]): string {
  const lines = [`POST ${path} HTTP/1.1`, 'host: node', ...headers];
  return lines.join('\r\n') + '\r\n\r\n';
}

test('a request without a token is refused before its body is sent', async () => {
  const address = node.url.replace('http://', '');
  const raw = head(CHAT, 'content-length: 900', 'connection: close');
  assert.match(await sendRaw(address, raw), /^HTTP\/1.1 401 /);
});

test('a body that stops arriving is refused as not run after the time limit', async () => {
  const address = node.url.replace('http://', '');
  const authorization = `authorization: Bearer ${TOKEN}`;
  const raw = head(CHAT, authorization, 'content-length: 900') + '{"mod';
  const answer = await sendRaw(address, raw);
  assert.match(answer, /^HTTP\/1.1 408 /);
  assert.match(answer, /"name":"RequestTooSlow".*"verdict":"not-run"/);
  assert.match(answer, /rhubarbstile-request-id: ./);
});

test('headers that stop arriving are refused as not run after the time limit', async () => {
  const address = node.url.replace('http://', '');
  const answer = await sendRaw(address, `POST ${CHAT} HTTP/1.1\r\nhost: n`);
  assert.match(answer, /^HTTP\/1.1 408 /);
  assert.match(answer, /"name":"RequestTooSlow".*"verdict":"not-run"/);
});

test('headers above the size limit are refused as not run', async () => {
  const address = node.url.replace('http://', '');
  const raw = head(CHAT, `x-long: ${'x'.repeat(2 * MAX_HEADER_BYTES)}`);
  const answer = await sendRaw(address, raw);
  assert.match(answer, /^HTTP\/1.1 431 /);
  assert.match(answer, /"name":"HeadersTooLarge".*"verdict":"not-run"/);
});

test('entries, health and readiness are available without a token', async () => {
  const paths = ['/v1/entries?service=chat', '/healthz', '/readyz'];
  const answers = await Promise.all(
    paths.map(path => callHttp(node.url + path)),
  );
  assert.deepEqual(
    answers.map(answer => answer.status),
    [200, 200, 200],
  );
  const {entries, keepMs} = JSON.parse(answers[0]!.body);
  assert.equal(`http://${entries[0].address}`, node.url);
  assert.ok(keepMs > 0);
});

test('no refused request reached a target', () => {
  assert.equal(target.receivedRequests.length, 0);
});

test('path, query, method, body and end-to-end headers reach an application', async () => {
  await node.call('/services/stock/items/7?size=large', {
    method: 'PUT',
    body: 'crepe paper',
    headers: {'x-shop': 'Napier', connection: 'close, x-hop', 'x-hop': '1'},
  });
  const {request, body} = target.receivedRequests[0]!;
  assert.equal(request.method, 'PUT');
  assert.equal(request.url, '/items/7?size=large');
  assert.equal(body, 'crepe paper');
  assert.equal(request.headers['x-shop'], 'Napier');
  assert.equal(request.headers['x-hop'], undefined);
  assert.equal(request.headers.authorization, undefined);
  assert.ok(request.headers['x-attempt-id']);
});
