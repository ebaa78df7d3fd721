import assert from 'node:assert/strict';
import {Agent, request as sendRequest} from 'node:http';
import {afterEach, test} from 'node:test';
import type {ServerResponse} from 'node:http';
import {RequestNode} from '../../support/request_node.js';
import {ScriptedTarget} from '../../support/scripted_target.js';
import {TOKEN} from '../../support/seed_state.js';
import {readChat} from '../../support/read_chat.js';
import {sendRaw} from '../../support/send_raw.js';
import {waitFor} from '../../support/wait_for.js';

const STREAMS = 7;
const KEEP_ALIVE = {connection: 'keep-alive'};
const CHAT_BODY = '{"model":"chat","stream":true}';
const RAW_CHAT = [
  'POST /v1/chat/completions HTTP/1.1',
  'host: node',
  `authorization: Bearer ${TOKEN}`,
  `content-length: ${CHAT_BODY.length}`,
  '',
  CHAT_BODY,
].join('\r\n');
const TOKEN_EVENT =
  'data: {"choices":[{"index":0,"delta":{"content":"word "}}]}\n\n';

const closing: {close(): unknown}[] = [];

afterEach(() => {
  for (const one of closing.splice(0)) one.close();
});

test('a drain under load completes all responses, refers new requests to other entries and then exits', async () => {
  const open: ServerResponse[] = [];
  const target = await ScriptedTarget.start(({response}) => {
    open.push(response);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.write(TOKEN_EVENT);
  });
  const node = await RequestNode.start({timeoutMs: 20_000});
  closing.push(node, target);
  node.addTarget('chat', 'a', target.address);
  const chats = Array.from({length: STREAMS}, () =>
    node.chat({headers: KEEP_ALIVE}),
  );
  const raw = sendRaw(node.url.replace('http://', ''), RAW_CHAT);
  await waitFor('all streams', () => open.length === STREAMS + 1);

  node.dispatch({type: 'drainRequested', reason: 'test'});
  const refused = await node.chat({headers: KEEP_ALIVE});
  assert.equal(refused.status, 503);
  assert.equal(refused.headers['rhubarbstile-verdict'], 'not-run');
  assert.equal(refused.headers.connection, 'close');
  const {error, entries} = JSON.parse(refused.body);
  assert.equal(error.name, 'NodeDraining');
  assert.ok(Array.isArray(entries));
  assert.equal(node.hasExited, false);

  let isClosed = false;
  void node.closeCallers().then(() => (isClosed = true));
  for (const response of open) response.end(TOKEN_EVENT + 'data: [DONE]\n\n');
  for (const chat of await Promise.all(chats)) {
    assert.equal(readChat(chat.body).text, 'word word ');
    assert.equal(readChat(chat.body).done, true);
  }
  await waitFor('the exit', () => node.hasExited);
  await waitFor('the end of all connections', () => isClosed);
  // The response head allowed keep-alive; the server closes the connection nevertheless.
  assert.match(await raw, /data: \[DONE\]/);
});

test('a drain closes idle keep-alive connections', async () => {
  const node = await RequestNode.start();
  closing.push(node);
  const agent = new Agent({keepAlive: true});
  closing.push({close: () => agent.destroy()});
  let isClosed = false;
  await new Promise<void>((resolve, reject) => {
    const call = sendRequest(`${node.url}/healthz`, {agent});
    call.on('error', reject);
    call.on('socket', socket => socket.on('close', () => (isClosed = true)));
    call.on('response', response => response.resume().on('end', resolve));
    call.end();
  });
  assert.equal(isClosed, false);
  node.dispatch({type: 'drainRequested', reason: 'test'});
  await waitFor('the end of the connection', () => isClosed);
});
